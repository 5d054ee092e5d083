#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// An IP address and a port.
struct Endpoint {
  std::string Host_;
  std::uint16_t Port_ = 0;

  auto operator<=>(Endpoint const &) const = default;
};

} // namespace laburnum
