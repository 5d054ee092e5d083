#pragma once

#include <LibPlatform/ObjectStore.h>

#include <cstddef>
#include <deque>
#include <map>

namespace laburnum {

/// Objects with store-wide versions and a bounded history of changes: the
/// behaviour of the platform's object API without its transport. Not
/// thread-safe; its owner locks.
class VersionedStore {
public:
  /// The greatest size of a value, in bytes.
  static constexpr std::size_t MostValueBytes = 1U << 20;
  static constexpr std::size_t DefaultHistory = 1024; ///< In changes.
  /// The history is cut short where its values take more than this, in bytes.
  static constexpr std::size_t MostHistoryBytes = 64U << 20;

  /// Watches from before the last HistoryLength changes report a gap.
  explicit VersionedStore(std::size_t HistoryLength = DefaultHistory)
      : HistoryLength_(HistoryLength) {}

  Version version() const { return Version_; }

  /// Version_ 0 when there is no such object.
  StoredObject find(ObjectKey const &Key) const;

  /// The object as of an earlier version, as far as the history reaches; what
  /// lies before the history is reported as absent.
  StoredObject findAsOf(ObjectKey const &Key, Version AsOf) const;

  ObjectList list(std::string const &Collection) const;
  ObjectList listAsOf(std::string const &Collection, Version AsOf) const;

  /// Fails with Conflict (Message_ names the present version) or
  /// InvalidArgument (the value is too large).
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value);

  /// The latest state of each object of the collection that changed after
  /// From. A From that the history does not reach, or that lies after the
  /// present version, yields a gap.
  WatchBatch changesAfter(std::string const &Collection, Version From) const;

  /// Brings back the state as of an earlier version, as a store restored from
  /// a backup does: versions go back and are given out a second time.
  void restoreTo(Version AsOf);

private:
  void forgetOldest();

  std::map<ObjectKey, StoredObject> Objects_;
  std::deque<StoredObject> History_; ///< Every change, the oldest first.
  std::size_t HistoryLength_;
  std::size_t HistoryBytes_ = 0;
  Version Version_ = 0;
  Version Forgotten_ = 0; ///< Changes up to this version left the history.
};

} // namespace laburnum
