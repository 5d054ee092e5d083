#pragma once

#include "VersionedStore.h"

#include <LibPlatform/AsyncObjectStore.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace laburnum::test {

/// The fault that applies to the following calls.
enum class StoreFault {
  None,
  Down,       ///< Calls have no effect and fail with Unavailable.
  LostAnswer, ///< Writes take effect and their answers are lost.
};

/// An object store in memory that answers its callers in deliver(). A watch
/// waits until an object changes or the test ends it.
class FakeAsyncStore : public AsyncObjectStore {
public:
  void setRestoreListener(RestoreListener Listener) override {
    RestoreListener_ = std::move(Listener);
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

  /// Answers every pending call, including those made meanwhile. Returns the
  /// number of answered calls.
  std::size_t deliver();
  /// Ends the pending watches with Outcome: a gap or an error.
  void endWatches(Result<WatchBatch> const &Outcome);

  StoreFault Fault_ = StoreFault::None;
  VersionedStore Objects_;
  std::map<ObjectKey, std::string> Statuses_; ///< As last written.
  StoreEra Era_ = 0;                          ///< In the answers to get().
  std::size_t Lists_ = 0;                     ///< Calls of list() so far.

private:
  struct Watch {
    std::string Collection_;
    Version From_;
    Done<WatchBatch> Done_;
  };

  Result<Version> write(ObjectKey const &Key, Version Expected,
                        std::string const &Value);

  RestoreListener RestoreListener_;
  std::deque<std::function<void()>> Answers_;
  std::deque<Watch> Watches_;
};

} // namespace laburnum::test
