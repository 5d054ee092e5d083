#include <LibControl/CollectionState.h>

namespace laburnum {

UpdatedObject updatedObject(StoredObject const &Object) {
  return {Object.Key_.Name_, Object.Version_, Object.Value_};
}

StoredObject CollectionState::stored(UpdatedObject const &Object) const {
  return {{Collection_, Object.Name_}, Object.Version_, Object.Value_};
}

collection::Outcome CollectionState::apply(CollectionUpdate const &Update) {
  if (Update.To_ <= Version_)
    return collection::Unchanged{};
  if (Update.From_ == 0)
    return replace(Update);
  if (Update.From_ > Version_)
    return collection::Gap{};
  // The update may begin with changes that are already known. A later change of
  // the same object follows each of them, so the result is the state of To_.
  std::map<std::string, UpdatedObject> Last;
  for (auto const &Object : Update.Objects_)
    Last[Object.Name_] = Object;
  collection::Applied Outcome;
  Outcome.Changes_.StoreVersion_ = Version_ = Update.To_;
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

collection::Outcome CollectionState::replace(CollectionUpdate const &Update) {
  Version_ = UnchangedSince_ = Update.To_;
  Objects_.clear();
  collection::Replaced Outcome;
  Outcome.All_.StoreVersion_ = Version_;
  for (auto const &Object : Update.Objects_) {
    if (Object.Version_ == 0)
      continue;
    Objects_[Object.Name_] = Object;
    Outcome.All_.Objects_.push_back(stored(Object));
  }
  return Outcome;
}

CollectionUpdate CollectionState::difference(ObjectList const &List) const {
  // Others may have changes of the earlier era that are not known here, and
  // that a delta would leave in place.
  if (eraOf(List.StoreVersion_) != eraOf(Version_)) {
    CollectionUpdate Whole{Collection_, 0, List.StoreVersion_, {}, {}};
    for (auto const &Object : List.Objects_)
      Whole.Objects_.push_back(updatedObject(Object));
    return Whole;
  }
  CollectionUpdate Update{
      Collection_, UnchangedSince_, List.StoreVersion_, {}, {}};
  auto Missing = Objects_;
  for (auto const &Object : List.Objects_) {
    auto const Held = Missing.extract(Object.Key_.Name_);
    if (Held.empty() || Held.mapped().Version_ != Object.Version_)
      Update.Objects_.push_back(updatedObject(Object));
  }
  for (auto const &[Name, Object] : Missing)
    Update.Objects_.push_back({Name, 0, {}});
  return Update;
}

CollectionUpdate CollectionState::confirmation(Duration Age) const {
  return {Collection_, UnchangedSince_, Version_, Age, {}};
}

CollectionUpdate CollectionState::snapshot(Duration Age) const {
  CollectionUpdate Update{Collection_, 0, Version_, Age, {}};
  for (auto const &[Name, Object] : Objects_)
    Update.Objects_.push_back(Object);
  return Update;
}

} // namespace laburnum
