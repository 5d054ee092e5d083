#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <atomic>
#include <cstdint>
#include <map>

namespace laburnum {

/// The time of day of the fleet: the median of the clocks of all entry
/// instances. An instance whose clock jumps neither affects the others nor uses
/// its own wrong time. Updated by one thread, read by any thread.
class MedianClock {
public:
  /// Sets the local time of day; Now is the local monotonic time.
  void setLocal(Duration TimeOfDay, TimePoint Now);
  void onPeer(InstanceId const &Peer, Duration TimeOfDay, TimePoint Now);

  /// Returns the median time since the start of 1970.
  Duration read(TimePoint Now) const {
    return Duration(Offset_.load(std::memory_order_relaxed)) +
           Now.time_since_epoch();
  }

private:
  struct Reading {
    Duration Offset_{}; ///< Time of day minus local monotonic time.
    TimePoint At_{};
  };

  void update(TimePoint Now);

  Duration LocalOffset_{};
  std::map<InstanceId, Reading> Peers_;
  std::atomic<Duration::rep> Offset_{0};
};

} // namespace laburnum
