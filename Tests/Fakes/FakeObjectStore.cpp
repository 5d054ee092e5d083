#include <Fakes/FakeObjectStore.h>

namespace laburnum {

namespace {

Error lostAnswer() {
  return {ErrorKind::OutcomeUnknown, "the answer of the write was lost",
          "read the object back to see whether the write took effect"};
}

} // namespace

std::optional<Error> FakeObjectStore::unavailableError() const {
  if (Reachability_ == Reachability::Reachable)
    return std::nullopt;
  return Error{ErrorKind::Unavailable, "the object store is unavailable",
               "try again later"};
}

Result<StoredObject> FakeObjectStore::get(ObjectKey const &Key, Duration) {
  std::lock_guard const Lock(Mutex_);
  ++Counts_.Gets_;
  if (auto Failure = unavailableError())
    return *Failure;
  return Store_.findAsOf(Key, ReadsAsOf_.value_or(Store_.version()));
}

Result<ObjectList> FakeObjectStore::list(std::string const &Collection,
                                         Duration) {
  std::lock_guard const Lock(Mutex_);
  ++Counts_.Lists_;
  if (auto Failure = unavailableError())
    return *Failure;
  return Store_.listAsOf(Collection, ReadsAsOf_.value_or(Store_.version()));
}

Result<Version> FakeObjectStore::putIf(ObjectKey const &Key, Version Expected,
                                       std::string const &Value, Duration) {
  std::lock_guard const Lock(Mutex_);
  ++Counts_.Puts_;
  if (auto Failure = unavailableError())
    return *Failure;
  if (WritesToLose_ > 0) {
    --WritesToLose_;
    return lostAnswer();
  }
  auto Outcome = Store_.putIf(Key, Expected, Value);
  if (AnswersToLose_ == 0)
    return Outcome;
  --AnswersToLose_;
  return lostAnswer();
}

Result<WatchBatch> FakeObjectStore::watch(std::string const &Collection,
                                          Version From, Duration) {
  std::lock_guard const Lock(Mutex_);
  ++Counts_.Watches_;
  if (auto Failure = unavailableError())
    return *Failure;
  if (WatchesToBreak_ == 0)
    return Store_.changesAfter(Collection, From);
  --WatchesToBreak_;
  return WatchBatch{WatchContinuity::Gap, Store_.version(), {}};
}

void FakeObjectStore::setReachability(Reachability NewReachability) {
  std::lock_guard const Lock(Mutex_);
  Reachability_ = NewReachability;
}

void FakeObjectStore::loseWriteAnswers(std::uint32_t Count) {
  std::lock_guard const Lock(Mutex_);
  AnswersToLose_ = Count;
}

void FakeObjectStore::loseWrites(std::uint32_t Count) {
  std::lock_guard const Lock(Mutex_);
  WritesToLose_ = Count;
}

void FakeObjectStore::serveReadsAsOf(std::optional<Version> AsOf) {
  std::lock_guard const Lock(Mutex_);
  ReadsAsOf_ = AsOf;
}

void FakeObjectStore::breakWatches(std::uint32_t Count) {
  std::lock_guard const Lock(Mutex_);
  WatchesToBreak_ = Count;
}

void FakeObjectStore::restoreTo(Version AsOf) {
  std::lock_guard const Lock(Mutex_);
  Store_.restoreTo(AsOf);
}

Version FakeObjectStore::version() const {
  std::lock_guard const Lock(Mutex_);
  return Store_.version();
}

ObjectStoreCounts FakeObjectStore::counts() const {
  std::lock_guard const Lock(Mutex_);
  return Counts_;
}

} // namespace laburnum
