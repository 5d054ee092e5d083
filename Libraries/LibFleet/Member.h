#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/EntryInstance.h>

#include <cstdint>

namespace laburnum {

/// An entry instance as this one knows it. A suspected member is Live until
/// its suspicion has run out.
struct Member {
  EntryInstance Instance_;
  Liveness Liveness_ = Liveness::Live;
  Version ConfigurationVersion_ = 0;
  std::uint64_t ConfigurationDigest_ = 0;
  /// When the member itself was last heard, or news of its configuration.
  TimePoint HeardAt_ = {};

  auto operator<=>(Member const &) const = default;
};

} // namespace laburnum
