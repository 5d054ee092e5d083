#pragma once

#include <LibCore/Time.h>

namespace laburnum {

/// A token bucket over calls: PerSecond on average and up to one second's
/// worth at once. A rate of 0 means no limit. Not thread-safe.
class CallRateLimit {
public:
  explicit CallRateLimit(double PerSecond);

  /// Takes one call from the budget; false when none is left at Now.
  bool tryTake(TimePoint Now);

private:
  void refill(TimePoint Now);

  double PerSecond_;
  double Most_;
  double Available_;
  TimePoint RefilledAt_{};
  bool HasStarted_ = false;
};

} // namespace laburnum
