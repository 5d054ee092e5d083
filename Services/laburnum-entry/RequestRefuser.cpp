#include "RequestRefuser.h"

namespace laburnum {

namespace {

constexpr std::int32_t TooManyRequests = 429;
constexpr std::int32_t ServiceUnavailable = 503;
constexpr std::string_view ContentCrashesServers =
    "servers crashed under requests of this content";
constexpr std::string_view PartCrashesServers =
    "servers crashed under requests with a part of this prompt";

} // namespace

void RequestRefuser::refuse(Exchange &Exchange, std::int32_t Status,
                            std::string_view Reason,
                            RequestMetadata const &Metadata,
                            Version Configuration,
                            std::optional<Duration> RetryAfter) {
  (Status == ServiceUnavailable ? Metrics_.Refused_ : Metrics_.Unroutable_)
      .add();
  Exchange.answer(Codec_.refusal(Status, RetryAfter, Metadata.AttemptId_), {});
  Log_.write(LogLine("request")
                 .add("id", Metadata.AttemptId_)
                 .add("outcome", "refused")
                 .add("status", Status)
                 .add("config", Configuration)
                 .add("why", Reason));
}

void RequestRefuser::refuseOverQuota(Exchange &Exchange,
                                     exchange::FlowContext const &FlowContext,
                                     AccountQuotaLimiter const &Limiter,
                                     Duration RetryAfter) {
  auto const &Account = FlowContext.Account_;
  auto const &Metadata = FlowContext.Metadata_;
  Metrics_.OverQuota_.add();
  Exchange.answer(
      Codec_.refusal(TooManyRequests, RetryAfter, Metadata.AttemptId_), {});
  auto const QuotaState = Limiter.quotaState(Account);
  LogLine Line("request");
  Line.add("id", Metadata.AttemptId_)
      .add("outcome", "refused")
      .add("status", TooManyRequests)
      .add("account", Account.text())
      .add("config", FlowContext.Table_->version())
      .add("level", static_cast<std::int64_t>(QuotaState.Level_))
      .add("allowance", static_cast<std::int64_t>(QuotaState.Allowance_))
      .add("reachable", QuotaState.Reachable_)
      .add("registered", QuotaState.Registered_);
  if (Metadata.TakesUpStream_)
    Line.add("first_attempt", Metadata.FirstAttemptId_);
  Line.add("retry_after_ms", RetryAfter).add("why", "over the account's quota");
  Log_.write(Line);
}

std::string_view
RequestRefuser::reasonOf(CrashRefusal const &Refusal,
                         RequestFingerprints const &Fingerprints) {
  return Refusal.Fingerprint_ == Fingerprints.Content_ ? ContentCrashesServers
                                                       : PartCrashesServers;
}

void RequestRefuser::refuseCrashing(Exchange &Exchange,
                                    exchange::FlowContext const &FlowContext,
                                    CrashRefusal const &Refusal,
                                    TimePoint Now) {
  auto const RetryAfter = Refusal.Until_ - Now;
  Metrics_.ContentRefused_.add();
  Exchange.answer(Codec_.refusal(ServiceUnavailable, RetryAfter,
                                 FlowContext.Metadata_.AttemptId_),
                  {});
  Log_.write(LogLine("request")
                 .add("id", FlowContext.Metadata_.AttemptId_)
                 .add("outcome", "refused")
                 .add("status", ServiceUnavailable)
                 .add("account", FlowContext.Account_.text())
                 .add("route", FlowContext.Route_->Name_)
                 .add("config", FlowContext.Table_->version())
                 .addHash("content", FlowContext.Fingerprints_.Content_)
                 .addHashes("parts", FlowContext.Fingerprints_.Parts_)
                 .addHash("suspect", Refusal.Fingerprint_)
                 .add("retry_after_ms", RetryAfter)
                 .add("why", reasonOf(Refusal, FlowContext.Fingerprints_)));
}

} // namespace laburnum
