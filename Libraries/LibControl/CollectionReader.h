#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/ObjectStore.h>

namespace laburnum {

/// Is told what a followed collection holds.
class CollectionReader {
public:
  virtual ~CollectionReader() = default;
  /// All objects; what is not among them does not exist.
  virtual void onListed(ObjectList const &Listed) = 0;
  /// Changes since the last call; an object with Version_ 0 is gone.
  virtual void onChanged(WatchBatch const &Changes) = 0;
  /// What is held was the store's latest state at this version.
  virtual void onCurrent(Version /*StoreVersion*/) {}
  /// The store does not answer this instance.
  virtual void onLost(Error const &Reason) = 0;
  virtual void onRegained() = 0;
};

} // namespace laburnum
