#pragma once

#include <compare>
#include <cstdint>

namespace laburnum {

/// How often each call of an object store was made, whether or not it
/// succeeded. A waiting watch counts as one call.
struct ObjectStoreCounts {
  std::uint64_t Gets_ = 0;
  std::uint64_t Lists_ = 0;
  std::uint64_t Puts_ = 0;
  std::uint64_t Watches_ = 0;
  std::uint64_t Refused_ = 0; ///< Stopped by our own limit; in no other count.

  auto operator<=>(ObjectStoreCounts const &) const = default;
};

} // namespace laburnum
