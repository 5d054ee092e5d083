#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/StoreClock.h>

#include <functional>
#include <mutex>
#include <random>

namespace laburnum {

/// How reads are retried: exponential backoff that doubles from InitialPause_
/// up to MaxPause_, each pause drawn uniformly from zero to that (full jitter).
struct ReadRetryPolicy {
  Duration InitialPause_ = std::chrono::milliseconds(20);
  Duration MaxPause_ = std::chrono::seconds(1);
  double RetriesPerCall_ = 0.2; ///< Added to the retry budget by each call.
  double RetryBudgetSize_ = 10; ///< Size of the retry budget, initially full.

  auto operator<=>(ReadRetryPolicy const &) const = default;
};

/// Retries reads that failed with Unavailable, within their timeout and a retry
/// budget shared by all calls. Other errors and all puts pass through: whether
/// a put may be retried is for its caller to decide. Thread-safe.
class RetryingObjectStore : public ObjectStore {
public:
  /// Inner and Clock must outlive this object. Seed initializes the jitter.
  RetryingObjectStore(ObjectStore &Inner, StoreClock &Clock,
                      ReadRetryPolicy const &Policy, std::uint64_t Seed);

  Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) override;
  Result<ObjectList> list(std::string const &Collection,
                          Duration Timeout) override;
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration Timeout) override;
  Result<WatchBatch> watch(std::string const &Collection, Version From,
                           Duration Wait) override;

private:
  /// Calls Attempt with the remaining time until it returns something other
  /// than Unavailable, or until the timeout or the retry budget is exhausted.
  template <typename Value>
  Result<Value> retry(Duration Timeout,
                      std::function<Result<Value>(Duration)> const &Attempt);

  void refillBudget();
  bool takeRetry();
  Duration drawPause(Duration MaxPause);

  ObjectStore &Inner_;
  StoreClock &Clock_;
  ReadRetryPolicy const Policy_;
  std::mutex Mutex_; ///< Guards all members below.
  std::mt19937_64 Jitter_;
  double RetryBudget_;
};

} // namespace laburnum
