#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// What the crash guard may hold responsible for a crash under a request, as
/// stable hashes.
struct RequestFingerprints {
  std::uint64_t Content_ = 0; ///< The whole content; see contentFingerprint().
  std::vector<std::uint64_t> Parts_; ///< Prompt parts that others may share.

  auto operator<=>(RequestFingerprints const &) const = default;
};

} // namespace laburnum
