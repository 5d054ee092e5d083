#include <LibControl/CollectionState.h>

namespace laburnum {

NewsObject newsOf(StoredObject const &Object) {
  return {Object.Key_.Name_, Object.Version_, Object.Value_};
}

StoredObject CollectionState::stored(NewsObject const &Object) const {
  return {{Collection_, Object.Name_}, Object.Version_, Object.Value_};
}

collection::Outcome CollectionState::apply(CollectionNews const &News) {
  if (News.To_ <= Version_)
    return collection::Unchanged{};
  if (News.From_ == 0)
    return replace(News);
  if (News.From_ > Version_)
    return collection::Gap{};
  // Changes that are known already may come first. As a later one of the same
  // object follows them, what stands at the end is the state of To_.
  std::map<std::string, NewsObject> Last;
  for (auto const &Object : News.Objects_)
    Last[Object.Name_] = Object;
  collection::Applied Outcome;
  Outcome.Changes_.StoreVersion_ = Version_ = News.To_;
  for (auto const &[Name, Object] : Last) {
    auto const Held = Objects_.find(Name);
    auto const HeldVersion =
        Held == Objects_.end() ? Version(0) : Held->second.Version_;
    if (HeldVersion == Object.Version_)
      continue;
    if (Object.Version_ == 0)
      Objects_.erase(Held);
    else
      Objects_[Name] = Object;
    Outcome.Changes_.Objects_.push_back(stored(Object));
  }
  if (!Outcome.Changes_.Objects_.empty())
    UnchangedSince_ = Version_;
  return Outcome;
}

collection::Outcome CollectionState::replace(CollectionNews const &News) {
  Version_ = UnchangedSince_ = News.To_;
  Objects_.clear();
  collection::Replaced Outcome;
  Outcome.All_.StoreVersion_ = Version_;
  for (auto const &Object : News.Objects_) {
    if (Object.Version_ == 0)
      continue;
    Objects_[Object.Name_] = Object;
    Outcome.All_.Objects_.push_back(stored(Object));
  }
  return Outcome;
}

CollectionNews CollectionState::difference(ObjectList const &List) const {
  CollectionNews News{Collection_, UnchangedSince_, List.StoreVersion_, {}, {}};
  auto Missing = Objects_;
  for (auto const &Object : List.Objects_) {
    auto const Held = Missing.extract(Object.Key_.Name_);
    if (Held.empty() || Held.mapped().Version_ != Object.Version_)
      News.Objects_.push_back(newsOf(Object));
  }
  for (auto const &[Name, Object] : Missing)
    News.Objects_.push_back({Name, 0, {}});
  return News;
}

CollectionNews CollectionState::unchanged(Duration Age) const {
  return {Collection_, UnchangedSince_, Version_, Age, {}};
}

CollectionNews CollectionState::whole(Duration Age) const {
  CollectionNews News{Collection_, 0, Version_, Age, {}};
  for (auto const &[Name, Object] : Objects_)
    News.Objects_.push_back(Object);
  return News;
}

} // namespace laburnum
