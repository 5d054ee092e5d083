#include "RequestService.h"

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr Duration DrainRetryAfter = std::chrono::seconds(1);

constexpr char ReadyPath[] = "/healthz/ready";
constexpr char LivePath[] = "/healthz/live";

HttpAnswer healthAnswer(int Status, std::string const &Body) {
  return {Status, "text/plain", Body, {}};
}

HttpAnswer answerOfPlain(PlainAnswer const &Answer, RequestId const &Id) {
  return {static_cast<int>(Answer.Status_),
          Answer.ContentType_,
          Answer.Body_,
          {{"Laburnum-Request-Id", Id.text()}}};
}

/// What a resumed stream still has to generate; the rest was counted before.
std::uint32_t tokensAsked(CallerRequest const &Request) {
  return Request.MaxTokens_ - std::min(Request.ResumeFrom_, Request.MaxTokens_);
}

/// A whole answer that goes on at another instance cannot be told to its
/// caller in mid-answer, as a stream can.
FailureAnswer movedFailure(CallerRequest const &Request) {
  auto const Key = Request.Key_ ? Request.Key_->text() : Request.Id_.text();
  return {{ErrorKind::Unavailable,
           "this entry instance is stopping; the completion goes on at another",
           "send the request again with the Idempotency-Key " + Key},
          RunState::MayHaveRun,
          DrainRetryAfter};
}

HttpAnswer wholeCompletion(ParsedRequest const &Read, StreamReader &Reader) {
  std::string Text;
  std::uint32_t Tokens = 0;
  while (true) {
    auto const Item = Reader.pop();
    auto const *Token = std::get_if<StreamToken>(&Item);
    if (!Token) {
      if (auto const *Failure = std::get_if<FailureAnswer>(&Item))
        return answerOf(*Failure, Read.Request_.Id_);
      if (std::holds_alternative<StreamMoved>(Item))
        return answerOf(movedFailure(Read.Request_), Read.Request_.Id_);
      Reader.release(Delivery::Written);
      return answerOfCompletion(Text, Tokens, Read);
    }
    Text += Token->Text_;
    ++Tokens;
  }
}

} // namespace

/// Kept while a request is in progress; what was taken is given back when it
/// goes.
class RequestService::Admission {
public:
  Admission(DrainGate::Pass Pass, AccountLimiter &Limiter, AccountName Account)
      : Pass_(std::move(Pass)), Limiter_(&Limiter),
        Account_(std::move(Account)) {}
  Admission(Admission &&Other) noexcept
      : Pass_(std::move(Other.Pass_)),
        Limiter_(std::exchange(Other.Limiter_, nullptr)),
        Account_(std::move(Other.Account_)) {}
  Admission &operator=(Admission &&) = delete;
  ~Admission() {
    if (Limiter_)
      Limiter_->release(Account_);
  }

private:
  DrainGate::Pass Pass_;
  AccountLimiter *Limiter_;
  AccountName Account_;
};

RequestService::RequestService(TrafficView &View, AccountLimiter &Limiter,
                               DrainGate &Gate, ServingMetrics &Metrics,
                               MeteredFlows &Flows, StreamService &Streams,
                               RequestBounds const &Bounds, std::uint64_t Seed)
    : View_(View), Limiter_(Limiter), Gate_(Gate), Metrics_(Metrics),
      Flows_(Flows), Streams_(Streams), Bounds_(Bounds), Identifiers_(Seed) {}

RequestId RequestService::nextId() {
  std::lock_guard const Lock(Mutex_);
  return RequestId(Identifiers_.next());
}

HttpAnswer RequestService::refuse(Error const &Failure) {
  Metrics_.Refused_.add();
  return refusalOf(Failure, nextId());
}

CallerAnswer RequestService::answer(CallerMessage const &Message) {
  if (Message.Target_ == LivePath)
    return healthAnswer(200, "live\n");
  if (Message.Target_ == ReadyPath)
    return Gate_.isReady() ? healthAnswer(200, "ready\n")
                           : healthAnswer(503, "not ready\n");

  auto const Start = readClock();
  auto const InForce = View_.configuration();
  auto const Read = parseRequest(Message, *InForce, Bounds_, nextId(), Start);
  if (isError(Read))
    return refuse(errorOf(Read));
  auto const &Request = valueOf(Read).Request_;

  auto Pass = Gate_.enter();
  if (!Pass) {
    Metrics_.Refused_.add();
    return answerOf({{ErrorKind::Unavailable, "this entry instance is stopping",
                      "send the request again; another instance takes it"},
                     RunState::NotRun,
                     DrainRetryAfter},
                    Request.Id_);
  }
  auto const *Account = InForce->account(Request.Account_);
  if (auto const Refusal =
          Limiter_.admit(*Account, tokensAsked(Request), Start)) {
    Metrics_.Refused_.add();
    return answerOf(*Refusal, Request.Id_);
  }
  Metrics_.Accepted_.add();
  auto Held =
      std::make_shared<Admission>(std::move(*Pass), Limiter_, Request.Account_);
  if (Request.Kind_ == ServiceKind::Plain)
    return answerPlain(valueOf(Read));
  return answerCompletion(valueOf(Read), std::move(Held));
}

CallerAnswer RequestService::answerPlain(ParsedRequest const &Read) {
  auto const &Request = Read.Request_;
  auto const Report =
      Flows_.run(Request, [](std::uint32_t, std::string const &) {
        return Continue::Yes;
      });
  if (auto const *Plain = std::get_if<flow::FinishPlain>(&Report.End_))
    return answerOfPlain(Plain->Answer_, Request.Id_);
  return answerOf(std::get<flow::FinishFailed>(Report.End_).Failure_,
                  Request.Id_);
}

/// The answer's status is chosen when the first token, or the failure, is
/// known.
CallerAnswer RequestService::answerCompletion(ParsedRequest const &Read,
                                              std::shared_ptr<Admission> Held) {
  auto const Opened = Streams_.open(Read, std::move(Held));
  if (auto const *Failure = std::get_if<FailureAnswer>(&Opened))
    return answerOf(*Failure, Read.Request_.Id_);
  auto const &Reader = std::get<std::shared_ptr<StreamReader>>(Opened);
  if (Read.Form_.Streaming_ == Streaming::No)
    return wholeCompletion(Read, *Reader);
  auto First = Reader->pop();
  if (auto const *Failure = std::get_if<FailureAnswer>(&First))
    return answerOf(*Failure, Read.Request_.Id_);
  return StreamAnswer{Read, std::move(First), Reader};
}

} // namespace laburnum
