#pragma once

#include <LibCore/Time.h>

#include <compare>
#include <cstddef>

namespace laburnum {

/// Limits on the request line and the fields of one request together. A line
/// between the chunks of its body has the same limit.
struct HeadBounds {
  std::size_t MaxBytes_ = std::size_t(64) << 10;
  Duration Timeout_ = std::chrono::seconds(5);

  auto operator<=>(HeadBounds const &) const = default;
};

} // namespace laburnum
