#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

enum class CollectorRole {
  None,
  HoldsLease, ///< The origin reports usage and orders servers for all.
};

/// The sum of the reports of all entry instances, made by a collector and
/// broadcast to every instance along the origin's tree. The counts are
/// cumulative since the start of the origin's incarnation and leave out what an
/// instance had admitted before its first report to the origin.
struct ConsumptionSum {
  InstanceId Origin_;
  std::uint64_t Number_ = 0; ///< Increases with each sum of the origin.
  CollectorRole Role_ = CollectorRole::None;
  /// Instances that reported recently, the origin included.
  std::uint32_t Incarnations_ = 0;
  std::vector<AccountConsumption> Accounts_;
  Duration TimeOfDay_{}; ///< The median of the instances' clocks, since 1970.

  auto operator<=>(ConsumptionSum const &) const = default;
};

} // namespace laburnum
