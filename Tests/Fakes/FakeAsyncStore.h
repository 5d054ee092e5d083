#pragma once

#include "VersionedStore.h"

#include <LibPlatform/AsyncObjectStore.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

namespace laburnum::test {

/// How the store treats the calls that come next.
enum class StoreFault {
  None,
  Down,       ///< Nothing is done, and the caller learns that.
  LostAnswer, ///< Writes are done and their answers lost.
};

/// An object store whose answers come when deliver() is called. A watch waits
/// until something changes or the test ends it.
class FakeAsyncStore : public AsyncObjectStore {
public:
  void list(std::string const &Collection, ReadConsistency Consistency,
            Duration Timeout, Done<ObjectList> Done) override;
  void watch(std::string const &Collection, Version From, Duration Wait,
             Done<WatchBatch> Done) override;
  void get(ObjectKey const &Key, ReadConsistency Consistency, Duration Timeout,
           Done<StoredObject> Done) override;
  void putIf(ObjectKey const &Key, Version Expected, std::string const &Value,
             Duration Timeout, Done<Version> Done) override;
  void put(ObjectKey const &Key, std::string const &Value, Duration Timeout,
           Done<Version> Done) override;
  void remove(ObjectKey const &Key, Duration Timeout,
              Done<Success> Done) override;

  /// Answers every call that is waiting, also those made meanwhile. Yields how
  /// many there were.
  std::size_t deliver();
  /// Ends the waiting watches with a gap, or as broken.
  void endWatches(Result<WatchBatch> const &Outcome);

  StoreFault Fault_ = StoreFault::None;
  VersionedStore Objects_;
  std::size_t Lists_ = 0; ///< Calls of list() so far.

private:
  struct Watch {
    std::string Collection_;
    Version From_;
    Done<WatchBatch> Done_;
  };

  Result<Version> write(ObjectKey const &Key, Version Expected,
                        std::string const &Value);

  std::deque<std::function<void()>> Answers_;
  std::deque<Watch> Watches_;
};

} // namespace laburnum::test
