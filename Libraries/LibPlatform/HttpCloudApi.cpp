#include <LibPlatform/HttpCloudApi.h>

#include <LibPlatform/LongPoll.h>
#include <LibPlatform/PlatformCodec.h>
#include <LibPlatform/PlatformErrors.h>

namespace laburnum {

Result<NoticeBatch> HttpCloudApi::notices(std::uint64_t From, Duration Wait) {
  std::string const CallName = "reading reclaim notices";
  auto const Path = "/cloud/notices?" + longPollQuery(From, Wait);
  auto const Reply =
      Connection_.call({"GET", Path, {}}, Wait + AnswerAllowance);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::ReadsOnly, CallName))
    return *Failure;
  auto Batch = decodeNoticeBatch(std::get<PlatformAnswer>(Reply).Body_);
  if (!Batch)
    return malformedAnswer(PlatformCallEffect::ReadsOnly, CallName);
  return *std::move(Batch);
}

Result<ServerId> HttpCloudApi::start(StartOrder const &Order,
                                     Duration Timeout) {
  auto const CallName = "start order " + Order.OrderId_;
  auto const Reply =
      Connection_.call({"POST", "/cloud/start", encodeStart(Order)}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::Writes, CallName))
    return *Failure;
  auto Id = decodeServerId(std::get<PlatformAnswer>(Reply).Body_);
  if (!Id)
    return malformedAnswer(PlatformCallEffect::Writes, CallName);
  return *std::move(Id);
}

Result<Success> HttpCloudApi::stop(ServerId const &Id, Duration Timeout) {
  auto const CallName = "stopping " + Id.text();
  auto const Reply =
      Connection_.call({"POST", "/cloud/stop", encodeStop(Id)}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::Writes, CallName))
    return *Failure;
  return Success{};
}

} // namespace laburnum
