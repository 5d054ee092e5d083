#pragma once

#include <LibPlatform/CallRateLimit.h>
#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/ObjectStoreCounts.h>
#include <LibPlatform/StoreClock.h>

#include <mutex>

namespace laburnum {

/// This process's share of the platform's rate limits; 0 means no limit.
struct ObjectStoreLimits {
  double ReadsPerSecond_ = 0; ///< get, list and watch.
  double WritesPerSecond_ = 0;

  auto operator<=>(ObjectStoreLimits const &) const = default;
};

/// Counts the calls to another store and rejects those above a rate limit at
/// once with ResourceExhausted. Thread-safe.
class MeteredObjectStore : public ObjectStore {
public:
  /// Inner and Clock must outlive this object.
  MeteredObjectStore(ObjectStore &Inner, StoreClock &Clock,
                     ObjectStoreLimits const &Limits);

  Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) override;
  Result<ObjectList> list(std::string const &Collection,
                          Duration Timeout) override;
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration Timeout) override;
  Result<WatchBatch> watch(std::string const &Collection, Version From,
                           Duration Wait) override;

  ObjectStoreCounts counts() const;

private:
  /// Takes one token from Limit; counts the call under Kind, or as refused if
  /// there is none.
  bool admit(CallRateLimit &Limit, std::uint64_t ObjectStoreCounts::*Kind);

  ObjectStore &Inner_;
  StoreClock &Clock_;
  mutable std::mutex Mutex_; ///< Guards all members below.
  CallRateLimit Reads_;
  CallRateLimit Writes_;
  ObjectStoreCounts Counts_;
};

} // namespace laburnum
