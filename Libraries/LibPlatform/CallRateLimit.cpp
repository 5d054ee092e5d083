#include <LibPlatform/CallRateLimit.h>

#include <algorithm>

namespace laburnum {

CallRateLimit::CallRateLimit(double PerSecond)
    : PerSecond_(PerSecond), Capacity_(std::max(PerSecond, 1.0)),
      Available_(Capacity_) {}

bool CallRateLimit::tryTake(TimePoint Now) {
  if (PerSecond_ <= 0)
    return true;
  refill(Now);
  if (Available_ < 1)
    return false;
  Available_ -= 1;
  return true;
}

void CallRateLimit::refill(TimePoint Now) {
  if (HasStarted_ && Now > RefilledAt_) {
    std::chrono::duration<double> const Elapsed = Now - RefilledAt_;
    Available_ = std::min(Capacity_, Available_ + Elapsed.count() * PerSecond_);
  }
  RefilledAt_ = HasStarted_ ? std::max(Now, RefilledAt_) : Now;
  HasStarted_ = true;
}

} // namespace laburnum
