#pragma once

#include <LibPeer/ConsumptionReport.h>

#include <map>
#include <vector>

namespace laburnum {

/// What one life of an entry instance has told of its consumption so far.
class LifeConsumption {
public:
  /// By how much each account's counts have grown since they were told before.
  /// Of a life that was not heard yet nothing counts, as when it admitted that
  /// is not known; an account that is new to a known life grew from zero just
  /// now. A report that comes late adds nothing.
  std::vector<AccountConsumption>
  take(std::vector<AccountConsumption> const &Told);

private:
  std::map<AccountName, AccountConsumption> Totals_;
  bool WasHeard_ = false;
};

} // namespace laburnum
