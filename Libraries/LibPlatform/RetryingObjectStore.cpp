#include <LibPlatform/RetryingObjectStore.h>

#include <algorithm>

namespace laburnum {

RetryingObjectStore::RetryingObjectStore(ObjectStore &Inner, StoreClock &Clock,
                                         ReadRetryPolicy const &Policy,
                                         std::uint64_t Seed)
    : Inner_(Inner), Clock_(Clock), Policy_(Policy), Jitter_(Seed),
      SavedRetries_(Policy.MostSavedRetries_) {}

template <typename Value>
Result<Value> RetryingObjectStore::repeat(
    Duration Timeout, std::function<Result<Value>(Duration)> const &Once) {
  earnRetries();
  auto const Deadline = Clock_.now() + Timeout;
  auto LongestPause = Policy_.FirstPause_;
  auto Outcome = Once(Timeout);
  while (isError(Outcome) && errorOf(Outcome).Kind_ == ErrorKind::Unavailable) {
    auto const Pause = drawPause(LongestPause);
    if (Clock_.now() + Pause >= Deadline || !spendRetry())
      return Outcome;
    Clock_.pause(Pause);
    auto const Left = Deadline - Clock_.now();
    if (Left <= Duration::zero())
      return Outcome;
    Outcome = Once(Left);
    LongestPause = std::min(LongestPause * 2, Policy_.LongestPause_);
  }
  return Outcome;
}

void RetryingObjectStore::earnRetries() {
  std::lock_guard const Lock(Mutex_);
  SavedRetries_ = std::min(SavedRetries_ + Policy_.RetriesPerCall_,
                           Policy_.MostSavedRetries_);
}

bool RetryingObjectStore::spendRetry() {
  std::lock_guard const Lock(Mutex_);
  if (SavedRetries_ < 1)
    return false;
  SavedRetries_ -= 1;
  return true;
}

Duration RetryingObjectStore::drawPause(Duration Longest) {
  std::lock_guard const Lock(Mutex_);
  std::uniform_int_distribution<Duration::rep> Draw(0, Longest.count());
  return Duration(Draw(Jitter_));
}

Result<StoredObject> RetryingObjectStore::get(ObjectKey const &Key,
                                              Duration Timeout) {
  return repeat<StoredObject>(
      Timeout, [&](Duration Left) { return Inner_.get(Key, Left); });
}

Result<ObjectList> RetryingObjectStore::list(std::string const &Collection,
                                             Duration Timeout) {
  return repeat<ObjectList>(
      Timeout, [&](Duration Left) { return Inner_.list(Collection, Left); });
}

Result<Version> RetryingObjectStore::putIf(ObjectKey const &Key,
                                           Version Expected,
                                           std::string const &Value,
                                           Duration Timeout) {
  return Inner_.putIf(Key, Expected, Value, Timeout);
}

Result<WatchBatch> RetryingObjectStore::watch(std::string const &Collection,
                                              Version From, Duration Wait) {
  return repeat<WatchBatch>(Wait, [&](Duration Left) {
    return Inner_.watch(Collection, From, Left);
  });
}

} // namespace laburnum
