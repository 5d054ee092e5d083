#include <LibControl/UsageCounter.h>

namespace laburnum {

void UsageCounter::count(AccountName const &Account, Duration MedianTime) {
  std::lock_guard const Lock(Mutex_);
  ++Windows_[windowOf(MedianTime)][Account];
}

std::map<std::int64_t, UsageCounts>
UsageCounter::since(std::int64_t First) const {
  std::lock_guard const Lock(Mutex_);
  return {Windows_.lower_bound(First), Windows_.end()};
}

void UsageCounter::forgetBefore(std::int64_t First) {
  std::lock_guard const Lock(Mutex_);
  Windows_.erase(Windows_.begin(), Windows_.lower_bound(First));
}

} // namespace laburnum
