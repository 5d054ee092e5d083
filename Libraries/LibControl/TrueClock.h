#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <atomic>
#include <cstdint>
#include <map>

namespace laburnum {

/// The time of day as most entry instances have it: the median of what each of
/// them says, so that one whose clock jumps neither misleads the others nor is
/// misled. One thread feeds it, any thread reads it.
class TrueClock {
public:
  /// The instance's own time of day, Now being its own elapsed time.
  void setOwn(Duration TimeOfDay, TimePoint Now);
  void onPeer(InstanceId const &Peer, Duration TimeOfDay, TimePoint Now);

  /// Since 1970.
  Duration read(TimePoint Now) const {
    return Duration(Offset_.load(std::memory_order_relaxed)) +
           Now.time_since_epoch();
  }

private:
  struct Reading {
    Duration Offset_{}; ///< Time of day less elapsed time.
    TimePoint At_{};
  };

  void update(TimePoint Now);

  Duration Own_{};
  std::map<InstanceId, Reading> Peers_;
  std::atomic<Duration::rep> Offset_{0};
};

} // namespace laburnum
