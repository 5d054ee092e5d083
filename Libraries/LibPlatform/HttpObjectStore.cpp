#include <LibPlatform/HttpObjectStore.h>

#include <LibPlatform/LongPoll.h>
#include <LibPlatform/PlatformCodec.h>
#include <LibPlatform/PlatformErrors.h>

namespace laburnum {

namespace {

std::string pathOf(ObjectKey const &Key) {
  return "/objects/" + encodePathSegment(Key.Collection_) + "/" +
         encodePathSegment(Key.Name_);
}

std::string textOf(ObjectKey const &Key) {
  return Key.Collection_ + "/" + Key.Name_;
}

} // namespace

Result<StoredObject> HttpObjectStore::get(ObjectKey const &Key,
                                          Duration Timeout) {
  auto const CallName = "reading " + textOf(Key);
  auto const Reply = Connection_.call({"GET", pathOf(Key), {}}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::ReadsOnly, CallName)) {
    if (Failure->Kind_ == ErrorKind::NotFound)
      return StoredObject{Key, 0, {}};
    return *Failure;
  }
  auto Object = decodeStoredObject(std::get<PlatformAnswer>(Reply).Body_);
  if (!Object || Object->Key_ != Key)
    return malformedAnswer(PlatformCallEffect::ReadsOnly, CallName);
  return *std::move(Object);
}

Result<ObjectList> HttpObjectStore::list(std::string const &Collection,
                                         Duration Timeout) {
  auto const CallName = "listing " + Collection;
  auto const Path = "/objects/" + encodePathSegment(Collection);
  auto const Reply = Connection_.call({"GET", Path, {}}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::ReadsOnly, CallName))
    return *Failure;
  auto List =
      decodeObjectList(Collection, std::get<PlatformAnswer>(Reply).Body_);
  if (!List)
    return malformedAnswer(PlatformCallEffect::ReadsOnly, CallName);
  return *std::move(List);
}

Result<Version> HttpObjectStore::putIf(ObjectKey const &Key, Version Expected,
                                       std::string const &Value,
                                       Duration Timeout) {
  auto const CallName = "writing " + textOf(Key);
  auto Body = encodePut(Value);
  if (!Body)
    return Error{ErrorKind::InvalidArgument,
                 CallName + " with a value not UTF-8",
                 "encode the value as text"};
  auto const Path = pathOf(Key) + "?expected=" + std::to_string(Expected);
  auto const Reply = Connection_.call({"PUT", Path, *std::move(Body)}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::Writes, CallName))
    return *Failure;
  auto const Written = decodeVersion(std::get<PlatformAnswer>(Reply).Body_);
  if (!Written)
    return malformedAnswer(PlatformCallEffect::Writes, CallName);
  return *Written;
}

Result<WatchBatch> HttpObjectStore::watch(std::string const &Collection,
                                          Version From, Duration Wait) {
  auto const CallName = "watching " + Collection;
  auto const Path = "/watch/" + encodePathSegment(Collection) + "?" +
                    longPollQuery(From, Wait);
  auto const Reply =
      Connection_.call({"GET", Path, {}}, Wait + AnswerAllowance);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::ReadsOnly, CallName))
    return *Failure;
  auto Batch =
      decodeWatchBatch(Collection, std::get<PlatformAnswer>(Reply).Body_);
  if (!Batch)
    return malformedAnswer(PlatformCallEffect::ReadsOnly, CallName);
  return *std::move(Batch);
}

} // namespace laburnum
