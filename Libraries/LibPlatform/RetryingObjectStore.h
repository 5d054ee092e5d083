#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/StoreClock.h>

#include <functional>
#include <mutex>
#include <random>

namespace laburnum {

/// How reads are repeated. Pauses grow twofold from FirstPause_ to
/// LongestPause_; each is drawn evenly from zero to that (full jitter).
struct ReadRetryPolicy {
  Duration FirstPause_ = std::chrono::milliseconds(20);
  Duration LongestPause_ = std::chrono::seconds(1);
  double RetriesPerCall_ = 0.2;  ///< What each call adds to the budget.
  double MostSavedRetries_ = 10; ///< The budget's size, full at the start.

  auto operator<=>(ReadRetryPolicy const &) const = default;
};

/// Repeats reads that failed with Unavailable, within their timeout and a
/// budget shared by all calls. Other errors and puts pass through: whether a
/// put may be repeated is for its caller to decide. Several threads may call
/// at once.
class RetryingObjectStore : public ObjectStore {
public:
  /// Inner and Clock outlive this object. Seed is that of the jitter.
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
  /// Calls Once with the time that is left until it gives something other
  /// than Unavailable, or time or budget is spent.
  template <typename Value>
  Result<Value> repeat(Duration Timeout,
                       std::function<Result<Value>(Duration)> const &Once);

  void earnRetries();
  bool spendRetry();
  Duration drawPause(Duration Longest);

  ObjectStore &Inner_;
  StoreClock &Clock_;
  ReadRetryPolicy const Policy_;
  std::mutex Mutex_; ///< Guards all below.
  std::mt19937_64 Jitter_;
  double SavedRetries_;
};

} // namespace laburnum
