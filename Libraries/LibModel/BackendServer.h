#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// Whether an engine refuses an order that carries an old fencing number.
enum class FencingCheck { Ignored, Honoured };

/// A backend server as its operator introduced it.
struct BackendServer {
  ServerId Id_;
  ServiceName Service_;
  DataCentre DataCentre_;
  Endpoint Endpoint_;
  FencingCheck Fencing_ = FencingCheck::Ignored;
  std::uint32_t Capacity_ = 16; ///< Requests it runs at once.
  double PricePerHour_ = 1.0;   ///< In the operators' currency.
  bool IsReclaimable_ = true;

  auto operator<=>(BackendServer const &) const = default;
};

} // namespace laburnum
