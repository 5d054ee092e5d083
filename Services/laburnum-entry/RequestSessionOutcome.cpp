// How a request ended: metrics and the log line.

#include "RequestSession.h"

namespace laburnum {

std::string_view RequestSession::outcomeName(Outcome Outcome) {
  switch (Outcome) {
  case Outcome::Answered:
    return "answered";
  case Outcome::Refused:
    return "refused";
  case Outcome::Failed:
    return "failed";
  case Outcome::Aborted:
    return "aborted";
  case Outcome::ClientLeft:
    return "client_left";
  }
  return "unknown";
}

void RequestSession::finish(Outcome Outcome, std::int32_t Status,
                            std::string_view Reason) {
  if (IsFinished_)
    return;
  IsFinished_ = true;
  DeadlineTimer_.cancel();
  count(Outcome);
  log(Outcome, Status, Reason);
}

void RequestSession::count(Outcome Outcome) {
  auto &Metrics = Plane_.Dependencies_.Metrics_;
  auto const Now = readBootClock();
  auto const Record = [](Distribution &Into, Duration Value) {
    Into.record(std::chrono::duration<double, std::milli>(Value).count());
  };
  switch (Outcome) {
  case Outcome::Answered:
    Metrics.Answered_.add();
    Record(Metrics.Total_, Now - Request_.BegunAt_);
    break;
  case Outcome::Refused:
    Metrics.Refused_.add();
    break;
  case Outcome::Failed:
    Metrics.Failed_.add();
    break;
  case Outcome::Aborted:
    Metrics.Aborted_.add();
    break;
  case Outcome::ClientLeft:
    Metrics.ClientLeft_.add();
    break;
  }
  if (FirstSentAt_ != TimePoint())
    Record(Metrics.Queued_, FirstSentAt_ - Request_.BegunAt_);
  if (FirstAnswerAt_ != TimePoint())
    Record(Metrics.FirstByte_, FirstAnswerAt_ - Request_.BegunAt_);
}

void RequestSession::log(Outcome Outcome, std::int32_t Status,
                         std::string_view Reason) {
  auto const Now = readBootClock();
  LogLine Line("request");
  Line.add("id", FlowContext_.Metadata_.AttemptId_)
      .add("outcome", outcomeName(Outcome))
      .add("status", Status)
      .add("account", FlowContext_.Account_.text())
      .add("route", FlowContext_.Route_->Name_)
      .add("service", FlowContext_.Service_.text())
      .add("config", FlowContext_.Table_->version())
      .add("server", LastServer_)
      .add("born", LastIncarnationStart_)
      .add("software", LastSoftwareVersion_)
      .add("attempts", Flow_.attempts())
      .addHash("content", FlowContext_.Fingerprints_.Content_)
      .addHashes("parts", FlowContext_.Fingerprints_.Parts_);
  if (FlowContext_.Metadata_.TakesUpStream_)
    Line.add("first_attempt", FlowContext_.Metadata_.FirstAttemptId_);
  if (LastFraming_)
    Line.add("framing", *LastFraming_ == AnswerFraming::EndsWithConnection
                            ? "connection"
                            : "delimited")
        .add("process", IsLastIdentified_ ? "identified" : "as listed");
  if (auto const Work = workOf(FlowContext_.Metadata_); Work && UnreadTokens_)
    Line.add("unshared_tokens", Work->unsharedTokens())
        .add("unread_tokens", *UnreadTokens_);
  if (FirstSentAt_ != TimePoint())
    Line.add("queued_ms", FirstSentAt_ - Request_.BegunAt_);
  if (FirstAnswerAt_ != TimePoint())
    Line.add("first_byte_ms", FirstAnswerAt_ - Request_.BegunAt_);
  Line.add("total_ms", Now - Request_.BegunAt_);
  if (Outcome != Outcome::Answered)
    Plane_.addServerListState(Line);
  if (Outcome == Outcome::Refused)
    Plane_.addRateLimitState(Line, FlowContext_.Service_);
  if (RefusalRetryAfter_)
    Line.add("retry_after_ms", *RefusalRetryAfter_);
  if (!Reason.empty())
    Line.add("why", Reason);
  Plane_.Dependencies_.Log_.write(Line);
}

} // namespace laburnum
