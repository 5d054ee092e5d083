#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/InstanceList.h>

#include <cstdint>
#include <random>

namespace laburnum {

/// Paces an instance's reads of the platform's instance list, so that the bytes
/// read per second do not grow with the fleet. Each instance reads a large list
/// less often, at randomized times; since the instances read in turn and notify
/// their peers of changes, the fleet as a whole still reads as often.
class ListingPace {
public:
  /// Seed must differ between instances, so that their reads are spread out.
  explicit ListingPace(std::uint64_t Seed) : Generator_(Seed) {}

  /// Whether the next read is due. A failed read stays due.
  bool isDue(TimePoint Now) const { return Now >= NextAt_; }
  /// Called after each successful read.
  void listed(InstanceListing const &Listing, TimePoint Now);

private:
  std::mt19937_64 Generator_;
  TimePoint NextAt_ = TimePoint::min();
};

} // namespace laburnum
