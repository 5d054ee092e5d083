#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

enum class CollectorDuty {
  None,
  HoldsLease, ///< The origin reports usage and orders servers for all.
};

/// What a collector has heard from all entry instances, its own part included.
/// Goes to every instance along the origin's tree. The counts begin with the
/// origin's life and only grow; what an instance had admitted before the origin
/// first heard it is not in them.
struct ConsumptionSum {
  InstanceId Origin_;
  std::uint64_t Number_ = 0; ///< Grows with each of the origin's sums.
  CollectorDuty Duty_ = CollectorDuty::None;
  std::uint32_t Lives_ = 0; ///< Instances heard lately, the origin included.
  std::vector<AccountConsumption> Accounts_;
  Duration TimeOfDay_{}; ///< As most of the instances have it, since 1970.

  auto operator<=>(ConsumptionSum const &) const = default;
};

} // namespace laburnum
