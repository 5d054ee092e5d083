#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// Whether an engine rejects orders with an outdated fencing number.
enum class FencingCheck { Ignored, Honoured };

/// A backend server as configured by its operators.
struct BackendServer {
  ServerId Id_;
  ServiceName Service_;
  DataCentre DataCentre_;
  Endpoint Endpoint_;
  FencingCheck Fencing_ = FencingCheck::Ignored;
  std::uint32_t Capacity_ = 16; ///< Maximum concurrent requests.
  double PricePerHour_ = 1.0;   ///< In the operators' currency.
  bool IsReclaimable_ = true;

  auto operator<=>(BackendServer const &) const = default;
};

} // namespace laburnum
