#pragma once

#include <LibPlatform/ObjectStore.h>

#include <cstddef>
#include <deque>
#include <map>

namespace laburnum {

/// Objects with store-wide versions and a bounded history of changes: the
/// behaviour of the platform's object API without its transport. Not
/// thread-safe: callers synchronize access.
class VersionedStore {
public:
  /// The maximum size of a value, in bytes.
  static constexpr std::size_t MaxValueBytes = 1U << 20;
  static constexpr std::size_t DefaultHistory = 1024; ///< In changes.
  /// The oldest changes are evicted when the values of the history take more
  /// than this, in bytes.
  static constexpr std::size_t MaxHistoryBytes = 64U << 20;

  /// Watches that start before the last HistoryLength changes report a gap.
  explicit VersionedStore(std::size_t HistoryLength = DefaultHistory)
      : HistoryLength_(HistoryLength) {}

  Version version() const { return Version_; }

  /// Returns an object with Version_ 0 when the key does not exist.
  StoredObject find(ObjectKey const &Key) const;

  /// The object as of an earlier version. Objects whose change left the history
  /// are reported as absent.
  StoredObject findAsOf(ObjectKey const &Key, Version AsOf) const;

  ObjectList list(std::string const &Collection) const;
  ObjectList listAsOf(std::string const &Collection, Version AsOf) const;

  /// Fails with Conflict (Message_ names the current version) or
  /// InvalidArgument (the value is too large).
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value);

  /// The latest state of each object of the collection that changed after
  /// From. Reports a gap when From lies before the history or after the current
  /// version.
  WatchBatch changesAfter(std::string const &Collection, Version From) const;

  /// Restores the state as of an earlier version, as a restored backup does:
  /// versions go back and are assigned a second time.
  void restoreTo(Version AsOf);

private:
  void evictOldest();

  std::map<ObjectKey, StoredObject> Objects_;
  std::deque<StoredObject> History_; ///< All changes, oldest first.
  std::size_t HistoryLength_;
  std::size_t HistoryBytes_ = 0;
  Version Version_ = 0;
  Version EvictedUpTo_ = 0; ///< Changes up to this version left the history.
};

} // namespace laburnum
