#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/StoreEra.h>

#include <functional>
#include <string>

namespace laburnum {

/// The asynchronous form of the platform's object API: each call returns at
/// once, and Done is called once, later, on the thread of the store's
/// io_context. Errors are those of ObjectStore.
class AsyncObjectStore {
public:
  template <typename Value> using Done = std::function<void(Result<Value>)>;

  virtual ~AsyncObjectStore() = default;

  /// The store has been restored from an older copy since an earlier answer.
  /// Called before the answer that shows it is passed on.
  using RestoreListener = std::function<void(StoreEra)>;
  virtual void setRestoreListener(RestoreListener Listener) = 0;

  /// A list takes one more call for a further page of the collection. Called
  /// before that call; never by a store that has no pages.
  using PageListener = std::function<void(std::string const &Collection)>;
  virtual void setPageListener(PageListener /*Listener*/) {}

  virtual void list(std::string const &Collection, ReadConsistency Consistency,
                    Duration Timeout, Done<ObjectList> Done) = 0;
  /// A deleted object is reported with Version_ 0.
  virtual void watch(std::string const &Collection, Version From, Duration Wait,
                     Done<WatchBatch> Done) = 0;
  virtual void get(ObjectKey const &Key, ReadConsistency Consistency,
                   Duration Timeout, Done<StoredObject> Done) = 0;
  virtual void putIf(ObjectKey const &Key, Version Expected,
                     std::string const &Value, Duration Timeout,
                     Done<Version> Done) = 0;
  /// Replaces the status of an object that has that version.
  virtual void putStatusIf(ObjectKey const &Key, Version Expected,
                           std::string const &Status, Duration Timeout,
                           Done<Version> Done) = 0;
  /// Writes the object unconditionally and creates it if it does not exist.
  virtual void put(ObjectKey const &Key, std::string const &Value,
                   Duration Timeout, Done<Version> Done) = 0;
  /// Removing an object that does not exist is a success.
  virtual void remove(ObjectKey const &Key, Duration Timeout,
                      Done<Success> Done) = 0;
};

} // namespace laburnum
