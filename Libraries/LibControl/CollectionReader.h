#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/ObjectStore.h>

namespace laburnum {

/// Receives the contents of a followed collection and its changes.
class CollectionReader {
public:
  virtual ~CollectionReader() = default;
  /// The complete collection; an object that is not in the list does not exist.
  virtual void onListed(ObjectList const &Listed) = 0;
  /// Changes since the last call; an object with Version_ 0 was deleted.
  virtual void onChanged(WatchBatch const &Changes) = 0;
  /// The contents received so far were the store's latest state at this
  /// version.
  virtual void onCurrent(Version /*StoreVersion*/) {}
  /// The store stopped answering this instance.
  virtual void onLost(Error const &Reason) = 0;
  virtual void onRegained() = 0;
};

} // namespace laburnum
