#include <LibControl/CollectionState.h>

#include <LibPeer/Compression.h>

#include <utility>

namespace laburnum {

namespace {

/// Smaller values are sent as they are, so that earlier releases read them.
constexpr std::size_t MinCompressedBytes = std::size_t{32} << 10;
/// Above what the platform's store allows for one value.
constexpr std::size_t MaxValueBytes = std::size_t{16} << 20;

} // namespace

UpdatedObject updatedObject(StoredObject const &Object) {
  if (Object.Value_.size() < MinCompressedBytes)
    return {Object.Key_.Name_, Object.Version_, Object.Value_};
  auto Data = compress(Object.Value_);
  if (Data.empty() || Data.size() >= Object.Value_.size())
    return {Object.Key_.Name_, Object.Version_, Object.Value_};
  return {Object.Key_.Name_, Object.Version_, std::move(Data),
          ValueEncoding::Compressed};
}

std::optional<StoredObject>
CollectionState::stored(UpdatedObject const &Object) const {
  StoredObject Stored{
      {Collection_, Object.Name_}, Object.Version_, Object.Value_};
  if (Object.Encoding_ == ValueEncoding::Plain)
    return Stored;
  auto Value = decompress(Object.Value_, MaxValueBytes);
  if (!Value)
    return std::nullopt;
  Stored.Value_ = std::move(*Value);
  return Stored;
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
  std::erase_if(Last, [&](auto const &Entry) {
    auto const Held = Objects_.find(Entry.first);
    auto const HeldVersion =
        Held == Objects_.end() ? Version(0) : Held->second.Version_;
    return HeldVersion == Entry.second.Version_;
  });
  for (auto const &[Name, Object] : Last) {
    auto Changed = stored(Object);
    if (!Changed)
      return collection::Gap{};
    Outcome.Changes_.Objects_.push_back(std::move(*Changed));
  }
  Outcome.Changes_.StoreVersion_ = Version_ = Update.To_;
  for (auto &[Name, Object] : Last) {
    if (Object.Version_ == 0)
      Objects_.erase(Name);
    else
      Objects_[Name] = std::move(Object);
  }
  if (!Outcome.Changes_.Objects_.empty())
    UnchangedSince_ = Version_;
  return Outcome;
}

collection::Outcome CollectionState::replace(CollectionUpdate const &Update) {
  collection::Replaced Outcome;
  Outcome.All_.StoreVersion_ = Update.To_;
  std::map<std::string, UpdatedObject> Objects;
  for (auto const &Object : Update.Objects_) {
    if (Object.Version_ == 0)
      continue;
    auto Known = stored(Object);
    if (!Known)
      return collection::Gap{};
    Objects[Object.Name_] = Object;
    Outcome.All_.Objects_.push_back(std::move(*Known));
  }
  Version_ = UnchangedSince_ = Update.To_;
  Objects_ = std::move(Objects);
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
