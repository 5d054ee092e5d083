#pragma once

#include <LibPeer/StoreNews.h>
#include <LibPlatform/ObjectStore.h>

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace laburnum {

namespace collection {

/// The state is the news' or a later one.
struct Unchanged {
  auto operator<=>(Unchanged const &) const = default;
};
/// Changes before the news' first are not known here: nothing was applied.
struct Gap {
  auto operator<=>(Gap const &) const = default;
};
/// Changes_ were applied; an object with Version_ 0 is gone.
struct Applied {
  WatchBatch Changes_;

  auto operator<=>(Applied const &) const = default;
};
/// The whole collection was taken over.
struct Replaced {
  ObjectList All_;

  auto operator<=>(Replaced const &) const = default;
};

using Outcome = std::variant<Unchanged, Gap, Applied, Replaced>;

} // namespace collection

/// An object as it is told; its collection is told with all of them.
NewsObject newsOf(StoredObject const &Object);

/// One collection of the store as of one version of the store. It only moves to
/// later versions, whatever comes late and from whomever.
class CollectionState {
public:
  explicit CollectionState(std::string Collection)
      : Collection_(std::move(Collection)) {}

  std::string const &collection() const { return Collection_; }
  /// 0 when nothing is known yet.
  Version version() const { return Version_; }
  /// From this version on up to version() nothing in the collection changed.
  Version unchangedSince() const { return UnchangedSince_; }

  collection::Outcome apply(CollectionNews const &News);
  /// What leads from this state to a whole collection that the store listed
  /// later; the list itself when nothing is known yet.
  CollectionNews difference(ObjectList const &List) const;
  /// That nothing has changed, as news for somebody who knows the last change.
  CollectionNews unchanged(Duration Age) const;
  /// The whole collection, as news for somebody who may know nothing of it.
  CollectionNews whole(Duration Age) const;

private:
  collection::Outcome replace(CollectionNews const &News);
  StoredObject stored(NewsObject const &Object) const;

  std::string Collection_;
  Version Version_ = 0;
  Version UnchangedSince_ = 0;
  std::map<std::string, NewsObject> Objects_;
};

} // namespace laburnum
