#include <LibControl/CountedStore.h>

#include <utility>

namespace laburnum {

namespace {

std::string readVerb(std::string const &Verb, ReadConsistency Consistency) {
  return Consistency == ReadConsistency::MayLag ? Verb + "-lagging" : Verb;
}

} // namespace

CountedStore::CountedStore(AsyncObjectStore &Store) : Store_(Store) {
  Store_.setPageListener([this](std::string const &Collection) {
    count("list-page", Collection);
  });
}

CountedStore::~CountedStore() { Store_.setPageListener({}); }

void CountedStore::count(std::string const &Verb,
                         std::string const &Collection) {
  ++Calls_[Verb + '/' + Collection];
}

void CountedStore::list(std::string const &Collection,
                        ReadConsistency Consistency, Duration Timeout,
                        Done<ObjectList> Done) {
  count(readVerb("list", Consistency), Collection);
  Store_.list(Collection, Consistency, Timeout, std::move(Done));
}

void CountedStore::watch(std::string const &Collection, Version From,
                         Duration Wait, Done<WatchBatch> Done) {
  count("watch", Collection);
  Store_.watch(Collection, From, Wait, std::move(Done));
}

void CountedStore::get(ObjectKey const &Key, ReadConsistency Consistency,
                       Duration Timeout, Done<StoredObject> Done) {
  count(readVerb("get", Consistency), Key.Collection_);
  Store_.get(Key, Consistency, Timeout, std::move(Done));
}

void CountedStore::putIf(ObjectKey const &Key, Version Expected,
                         std::string const &Value, Duration Timeout,
                         Done<Version> Done) {
  count("put", Key.Collection_);
  Store_.putIf(Key, Expected, Value, Timeout, std::move(Done));
}

void CountedStore::putStatusIf(ObjectKey const &Key, Version Expected,
                               std::string const &Status, Duration Timeout,
                               Done<Version> Done) {
  count("put", Key.Collection_);
  Store_.putStatusIf(Key, Expected, Status, Timeout, std::move(Done));
}

void CountedStore::put(ObjectKey const &Key, std::string const &Value,
                       Duration Timeout, Done<Version> Done) {
  count("put", Key.Collection_);
  Store_.put(Key, Value, Timeout, std::move(Done));
}

void CountedStore::remove(ObjectKey const &Key, Duration Timeout,
                          Done<Success> Done) {
  count("remove", Key.Collection_);
  Store_.remove(Key, Timeout, std::move(Done));
}

} // namespace laburnum
