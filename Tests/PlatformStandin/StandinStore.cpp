#include <PlatformStandin/StandinStore.h>

#include <algorithm>

namespace laburnum {

StoredObject StandinStore::find(ObjectKey const &Key) {
  std::lock_guard const Lock(Mutex_);
  return Store_.findAsOf(Key, versionToRead());
}

ObjectList StandinStore::list(std::string const &Collection) {
  std::lock_guard const Lock(Mutex_);
  return Store_.listAsOf(Collection, versionToRead());
}

Version StandinStore::versionToRead() {
  auto const AsOf = ReadsAsOf_.value_or(Store_.version());
  if (RemainingStaleReads_ > 0 && --RemainingStaleReads_ == 0)
    ReadsAsOf_.reset();
  return AsOf;
}

PutOutcome StandinStore::putIf(ObjectKey const &Key, Version Expected,
                               std::string const &Value) {
  std::lock_guard const Lock(Mutex_);
  auto Outcome = Store_.putIf(Key, Expected, Value);
  Changed_.notify_all();
  return {std::move(Outcome), Store_.find(Key).Version_};
}

WatchBatch StandinStore::gap() {
  std::lock_guard const Lock(Mutex_);
  return {WatchContinuity::Gap, Store_.version(), {}};
}

WatchBatch StandinStore::watch(std::string const &Collection, Version From,
                               Duration Wait) {
  std::unique_lock Lock(Mutex_);
  WatchBatch Batch;
  Changed_.wait_for(Lock, Wait, [&] {
    Batch = Store_.changesAfter(Collection, From);
    return IsStopped_ || !Batch.Objects_.empty() ||
           Batch.Continuity_ == WatchContinuity::Gap;
  });
  return Batch;
}

void StandinStore::beginStaleReads(std::uint32_t Count) {
  std::lock_guard const Lock(Mutex_);
  ReadsAsOf_ = Store_.version();
  RemainingStaleReads_ = Count;
}

void StandinStore::endStaleReads() {
  std::lock_guard const Lock(Mutex_);
  ReadsAsOf_.reset();
  RemainingStaleReads_ = 0;
}

void StandinStore::restore(std::uint32_t Count) {
  std::lock_guard const Lock(Mutex_);
  Store_.restoreTo(Store_.version() -
                   std::min<Version>(Count, Store_.version()));
  Changed_.notify_all();
}

void StandinStore::stop() {
  std::lock_guard const Lock(Mutex_);
  IsStopped_ = true;
  Changed_.notify_all();
}

} // namespace laburnum
