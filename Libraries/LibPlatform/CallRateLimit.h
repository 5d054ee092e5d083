#pragma once

#include <LibCore/Time.h>

namespace laburnum {

/// A token bucket over calls: PerSecond on average, with bursts of up to one
/// second's worth. A rate of 0 means no limit. Not thread-safe.
class CallRateLimit {
public:
  explicit CallRateLimit(double PerSecond);

  /// Takes one token; false when none is available at Now.
  bool tryTake(TimePoint Now);

private:
  void refill(TimePoint Now);

  double PerSecond_;
  double Capacity_;
  double Available_;
  TimePoint RefilledAt_{};
  bool HasStarted_ = false;
};

} // namespace laburnum
