#pragma once

#include <LibPlatform/AsyncObjectStore.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace laburnum {

/// Forwards calls to another store and counts them, because the platform
/// charges for each call. Used by one thread.
class CountedStore : public AsyncObjectStore {
public:
  /// The store outlives this one.
  explicit CountedStore(AsyncObjectStore &Store);
  ~CountedStore() override;
  CountedStore(CountedStore const &) = delete;
  CountedStore &operator=(CountedStore const &) = delete;

  void setRestoreListener(RestoreListener Listener) override {
    Store_.setRestoreListener(std::move(Listener));
  }
  void list(std::string const &Collection, ReadConsistency Consistency,
            Duration Timeout, Done<ObjectList> Done) override;
  void watch(std::string const &Collection, Version From, Duration Wait,
             Done<WatchBatch> Done) override;
  void get(ObjectKey const &Key, ReadConsistency Consistency, Duration Timeout,
           Done<StoredObject> Done) override;
  void putIf(ObjectKey const &Key, Version Expected, std::string const &Value,
             Duration Timeout, Done<Version> Done) override;
  void putStatusIf(ObjectKey const &Key, Version Expected,
                   std::string const &Status, Duration Timeout,
                   Done<Version> Done) override;
  void put(ObjectKey const &Key, std::string const &Value, Duration Timeout,
           Done<Version> Done) override;
  void remove(ObjectKey const &Key, Duration Timeout,
              Done<Success> Done) override;

  /// Calls since the start by operation and collection, such as
  /// "watch/servers". Reads that may lag are counted separately, as they cost
  /// less. The pages of a list after its first one are counted as
  /// "list-page/servers".
  std::map<std::string, std::uint64_t> const &calls() const { return Calls_; }

private:
  void count(std::string const &Verb, std::string const &Collection);

  AsyncObjectStore &Store_;
  std::map<std::string, std::uint64_t> Calls_;
};

} // namespace laburnum
