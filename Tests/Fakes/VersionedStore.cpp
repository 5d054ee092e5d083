#include <Fakes/VersionedStore.h>

#include <algorithm>

namespace laburnum {

StoredObject VersionedStore::find(ObjectKey const &Key) const {
  auto const Found = Objects_.find(Key);
  return Found == Objects_.end() ? StoredObject{Key, 0, {}} : Found->second;
}

StoredObject VersionedStore::findAsOf(ObjectKey const &Key,
                                      Version AsOf) const {
  auto Current = find(Key);
  if (Current.Version_ <= AsOf)
    return Current;
  auto const Matches = [&](StoredObject const &Change) {
    return Change.Key_ == Key && Change.Version_ <= AsOf;
  };
  auto const Found = std::find_if(History_.rbegin(), History_.rend(), Matches);
  return Found == History_.rend() ? StoredObject{Key, 0, {}} : *Found;
}

ObjectList VersionedStore::list(std::string const &Collection) const {
  return listAsOf(Collection, Version_);
}

ObjectList VersionedStore::listAsOf(std::string const &Collection,
                                    Version AsOf) const {
  ObjectList Listed{std::min(AsOf, Version_), {}};
  for (auto Next = Objects_.lower_bound({Collection, {}});
       Next != Objects_.end() && Next->first.Collection_ == Collection;
       ++Next) {
    auto Object = findAsOf(Next->first, AsOf);
    if (Object.Version_ != 0)
      Listed.Objects_.push_back(std::move(Object));
  }
  return Listed;
}

Result<Version> VersionedStore::putIf(ObjectKey const &Key, Version Expected,
                                      std::string const &Value) {
  if (Value.size() > MaxValueBytes)
    return Error{ErrorKind::InvalidArgument,
                 "the value of " + Key.Collection_ + "/" + Key.Name_ +
                     " is above 1 MiB",
                 "write a smaller value"};
  auto const Current = find(Key).Version_;
  if (Current != Expected)
    return Error{ErrorKind::Conflict,
                 Key.Collection_ + "/" + Key.Name_ + " is at version " +
                     std::to_string(Current),
                 "read it again and decide anew"};
  StoredObject const Written{Key, ++Version_, Value};
  Objects_[Key] = Written;
  History_.push_back(Written);
  HistoryBytes_ += Value.size();
  while (History_.size() > HistoryLength_ || HistoryBytes_ > MaxHistoryBytes)
    evictOldest();
  return Version_;
}

void VersionedStore::evictOldest() {
  EvictedUpTo_ = History_.front().Version_;
  HistoryBytes_ -= History_.front().Value_.size();
  History_.pop_front();
}

WatchBatch VersionedStore::changesAfter(std::string const &Collection,
                                        Version From) const {
  if (From < EvictedUpTo_ || From > Version_)
    return {WatchContinuity::Gap, Version_, {}};
  WatchBatch Batch{WatchContinuity::Complete, Version_, {}};
  for (auto const &Change : History_) {
    if (Change.Version_ <= From || Change.Key_.Collection_ != Collection)
      continue;
    if (find(Change.Key_).Version_ == Change.Version_)
      Batch.Objects_.push_back(Change);
  }
  return Batch;
}

void VersionedStore::restoreTo(Version AsOf) {
  std::map<ObjectKey, StoredObject> Restored;
  for (auto const &[Key, Object] : Objects_) {
    auto Earlier = findAsOf(Key, AsOf);
    if (Earlier.Version_ != 0)
      Restored.emplace(Key, std::move(Earlier));
  }
  Objects_ = std::move(Restored);
  while (!History_.empty() && History_.back().Version_ > AsOf) {
    HistoryBytes_ -= History_.back().Value_.size();
    History_.pop_back();
  }
  Version_ = std::min(AsOf, Version_);
  EvictedUpTo_ = std::min(EvictedUpTo_, Version_);
}

} // namespace laburnum
