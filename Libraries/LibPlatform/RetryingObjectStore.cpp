#include <LibPlatform/RetryingObjectStore.h>

#include <algorithm>

namespace laburnum {

RetryingObjectStore::RetryingObjectStore(ObjectStore &Inner, StoreClock &Clock,
                                         ReadRetryPolicy const &Policy,
                                         std::uint64_t Seed)
    : Inner_(Inner), Clock_(Clock), Policy_(Policy), Jitter_(Seed),
      RetryBudget_(Policy.RetryBudgetSize_) {}

template <typename Value>
Result<Value> RetryingObjectStore::retry(
    Duration Timeout, std::function<Result<Value>(Duration)> const &Attempt) {
  refillBudget();
  auto const Deadline = Clock_.now() + Timeout;
  auto Backoff = Policy_.InitialPause_;
  auto Outcome = Attempt(Timeout);
  while (isError(Outcome) && errorOf(Outcome).Kind_ == ErrorKind::Unavailable) {
    auto const Pause = drawPause(Backoff);
    if (Clock_.now() + Pause >= Deadline || !takeRetry())
      return Outcome;
    Clock_.pause(Pause);
    auto const Remaining = Deadline - Clock_.now();
    if (Remaining <= Duration::zero())
      return Outcome;
    Outcome = Attempt(Remaining);
    Backoff = std::min(Backoff * 2, Policy_.MaxPause_);
  }
  return Outcome;
}

void RetryingObjectStore::refillBudget() {
  std::lock_guard const Lock(Mutex_);
  RetryBudget_ = std::min(RetryBudget_ + Policy_.RetriesPerCall_,
                          Policy_.RetryBudgetSize_);
}

bool RetryingObjectStore::takeRetry() {
  std::lock_guard const Lock(Mutex_);
  if (RetryBudget_ < 1)
    return false;
  RetryBudget_ -= 1;
  return true;
}

Duration RetryingObjectStore::drawPause(Duration MaxPause) {
  std::lock_guard const Lock(Mutex_);
  std::uniform_int_distribution<Duration::rep> Draw(0, MaxPause.count());
  return Duration(Draw(Jitter_));
}

Result<StoredObject> RetryingObjectStore::get(ObjectKey const &Key,
                                              Duration Timeout) {
  return retry<StoredObject>(
      Timeout, [&](Duration Remaining) { return Inner_.get(Key, Remaining); });
}

Result<ObjectList> RetryingObjectStore::list(std::string const &Collection,
                                             Duration Timeout) {
  return retry<ObjectList>(Timeout, [&](Duration Remaining) {
    return Inner_.list(Collection, Remaining);
  });
}

Result<Version> RetryingObjectStore::putIf(ObjectKey const &Key,
                                           Version Expected,
                                           std::string const &Value,
                                           Duration Timeout) {
  return Inner_.putIf(Key, Expected, Value, Timeout);
}

Result<WatchBatch> RetryingObjectStore::watch(std::string const &Collection,
                                              Version From, Duration Wait) {
  return retry<WatchBatch>(Wait, [&](Duration Remaining) {
    return Inner_.watch(Collection, From, Remaining);
  });
}

} // namespace laburnum
