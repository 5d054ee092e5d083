#include <LibPlatform/MeteredObjectStore.h>

namespace laburnum {

namespace {

Error rateLimitError() {
  return {ErrorKind::ResourceExhausted,
          "this instance's own rate of calls to the object store is used up",
          "try again in a second"};
}

} // namespace

MeteredObjectStore::MeteredObjectStore(ObjectStore &Inner, StoreClock &Clock,
                                       ObjectStoreLimits const &Limits)
    : Inner_(Inner), Clock_(Clock), Reads_(Limits.ReadsPerSecond_),
      Writes_(Limits.WritesPerSecond_) {}

bool MeteredObjectStore::admit(CallRateLimit &Limit,
                               std::uint64_t ObjectStoreCounts::*Kind) {
  auto const Now = Clock_.now();
  std::lock_guard const Lock(Mutex_);
  auto const IsAdmitted = Limit.tryTake(Now);
  ++(Counts_.*(IsAdmitted ? Kind : &ObjectStoreCounts::Refused_));
  return IsAdmitted;
}

Result<StoredObject> MeteredObjectStore::get(ObjectKey const &Key,
                                             Duration Timeout) {
  if (!admit(Reads_, &ObjectStoreCounts::Gets_))
    return rateLimitError();
  return Inner_.get(Key, Timeout);
}

Result<ObjectList> MeteredObjectStore::list(std::string const &Collection,
                                            Duration Timeout) {
  if (!admit(Reads_, &ObjectStoreCounts::Lists_))
    return rateLimitError();
  return Inner_.list(Collection, Timeout);
}

Result<Version> MeteredObjectStore::putIf(ObjectKey const &Key,
                                          Version Expected,
                                          std::string const &Value,
                                          Duration Timeout) {
  if (!admit(Writes_, &ObjectStoreCounts::Puts_))
    return rateLimitError();
  return Inner_.putIf(Key, Expected, Value, Timeout);
}

Result<WatchBatch> MeteredObjectStore::watch(std::string const &Collection,
                                             Version From, Duration Wait) {
  if (!admit(Reads_, &ObjectStoreCounts::Watches_))
    return rateLimitError();
  return Inner_.watch(Collection, From, Wait);
}

ObjectStoreCounts MeteredObjectStore::counts() const {
  std::lock_guard const Lock(Mutex_);
  return Counts_;
}

} // namespace laburnum
