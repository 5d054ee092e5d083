#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/InstanceList.h>

#include <cstdint>
#include <random>

namespace laburnum {

/// Paces an instance's readings of the platform's instance list, so that their
/// bytes do not grow with the fleet. Each instance reads a large list rarely,
/// at times of its own; since all read in turn and tell their peers what is
/// new, the fleet as a whole looks as often as before.
class ListingPace {
public:
  /// Seed must differ between instances, which sets their turns apart.
  explicit ListingPace(std::uint64_t Seed) : Generator_(Seed) {}

  /// Whether the next reading is due; a reading that fails is due again.
  bool isDue(TimePoint Now) const { return Now >= NextAt_; }
  void listed(InstanceListing const &Listing, TimePoint Now);

private:
  std::mt19937_64 Generator_;
  TimePoint NextAt_ = TimePoint::min();
};

} // namespace laburnum
