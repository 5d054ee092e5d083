#pragma once

#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/EntryInstance.h>

#include <cstdint>

namespace laburnum {

/// What this instance knows of an entry instance. A suspected member stays Live
/// until its suspicion times out.
struct Member {
  EntryInstance Instance_;
  Liveness Liveness_ = Liveness::Live;
  Version ConfigurationVersion_ = 0;
  std::uint64_t ConfigurationDigest_ = 0;
  /// When a message of the member, or gossip of a newer configuration of it,
  /// was last received.
  TimePoint LastReceivedAt_ = {};

  auto operator<=>(Member const &) const = default;
};

} // namespace laburnum
