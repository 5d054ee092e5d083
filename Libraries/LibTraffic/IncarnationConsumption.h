#pragma once

#include <LibPeer/ConsumptionReport.h>

#include <map>
#include <vector>

namespace laburnum {

/// The cumulative consumption reported by one incarnation of an entry instance.
class IncarnationConsumption {
public:
  /// Returns the growth of each account's counts since the previous report. The
  /// first report of an incarnation counts as no growth, because the time of
  /// its consumption is unknown; an account that is new in a later report grew
  /// from zero. A report that arrives out of order adds nothing.
  std::vector<AccountConsumption>
  take(std::vector<AccountConsumption> const &Reported);

private:
  std::map<AccountName, AccountConsumption> Totals_;
  bool HasReport_ = false;
};

} // namespace laburnum
