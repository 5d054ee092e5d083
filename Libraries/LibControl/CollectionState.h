#pragma once

#include <LibPeer/StoreUpdate.h>
#include <LibPlatform/ObjectStore.h>

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace laburnum {

namespace collection {

/// The state is that of the update or a later one.
struct Unchanged {
  auto operator<=>(Unchanged const &) const = default;
};
/// The update starts after the known version, or a value cannot be read:
/// changes are missing and nothing was applied.
struct Gap {
  auto operator<=>(Gap const &) const = default;
};
/// Changes_ were applied; an object with Version_ 0 was deleted.
struct Applied {
  WatchBatch Changes_;

  auto operator<=>(Applied const &) const = default;
};
/// The whole collection was replaced by a snapshot.
struct Replaced {
  ObjectList All_;

  auto operator<=>(Replaced const &) const = default;
};

using Outcome = std::variant<Unchanged, Gap, Applied, Replaced>;

} // namespace collection

/// Converts an object to the form that updates carry, which compresses a large
/// value; the update names the collection once for all its objects.
UpdatedObject updatedObject(StoredObject const &Object);

/// One collection of the store as of one version of the store. The version
/// only increases: updates that arrive late, from any sender, are ignored.
class CollectionState {
public:
  explicit CollectionState(std::string Collection)
      : Collection_(std::move(Collection)) {}

  std::string const &collection() const { return Collection_; }
  /// Version of the store; 0 when nothing is known yet.
  Version version() const { return Version_; }
  /// The collection did not change from this version up to version().
  Version unchangedSince() const { return UnchangedSince_; }

  collection::Outcome apply(CollectionUpdate const &Update);
  /// Returns the delta from this state to a later listing of the whole
  /// collection, or a snapshot when nothing of the store's era is known yet.
  CollectionUpdate difference(ObjectList const &List) const;
  /// Returns an update without objects, which confirms the state to receivers
  /// that have the last change. Age is the time since it was confirmed.
  CollectionUpdate confirmation(Duration Age) const;
  /// Returns the whole collection as an update that applies to any state.
  CollectionUpdate snapshot(Duration Age) const;

private:
  collection::Outcome replace(CollectionUpdate const &Update);
  /// Returns nothing if the value cannot be read.
  std::optional<StoredObject> stored(UpdatedObject const &Object) const;

  std::string Collection_;
  Version Version_ = 0;
  Version UnchangedSince_ = 0;
  std::map<std::string, UpdatedObject> Objects_;
};

} // namespace laburnum
