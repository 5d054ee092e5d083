#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstddef>

namespace laburnum {

/// Bounds on the request line and fields of one request, taken together.
struct HeadBounds {
  std::size_t MostBytes_ = std::size_t(64) << 10;
  Duration Timeout_ = std::chrono::seconds(5);

  auto operator<=>(HeadBounds const &) const = default;
};

} // namespace laburnum
