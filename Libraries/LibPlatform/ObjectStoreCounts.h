#pragma once

#include <compare>
#include <cstdint>

namespace laburnum {

/// Number of calls of each kind to an object store, whether or not they
/// succeeded. A long-polling watch counts as one call.
struct ObjectStoreCounts {
  std::uint64_t Gets_ = 0;
  std::uint64_t Lists_ = 0;
  std::uint64_t Puts_ = 0;
  std::uint64_t Watches_ = 0;
  std::uint64_t Refused_ = 0; ///< By the local limit; in no other count.

  auto operator<=>(ObjectStoreCounts const &) const = default;
};

} // namespace laburnum
