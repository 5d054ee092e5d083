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

HttpAnswer answerOfPlain(PlainAnswer Answer, RequestId const &Id) {
  return {static_cast<int>(Answer.Status_),
          std::move(Answer.ContentType_),
          std::move(Answer.Body_),
          {{"Laburnum-Request-Id", Id.text()}}};
}

/// The number of tokens a resumed stream still has to generate; earlier tokens
/// were already charged to the account.
std::uint32_t tokensRequested(CallerRequest const &Request) {
  return Request.MaxTokens_ - std::min(Request.ResumeFrom_, Request.MaxTokens_);
}

/// Without streaming, a caller cannot be redirected in mid-answer when its
/// completion moves to another instance, so the request fails.
FailureAnswer movedFailure(CallerRequest const &Request) {
  auto const Key = Request.Key_ ? Request.Key_->text() : Request.Id_.text();
  return {{ErrorKind::Unavailable,
           "this entry instance is stopping; the completion goes on at another",
           "send the request again with the Idempotency-Key " + Key},
          RunState::MayHaveRun,
          DrainRetryAfter};
}

HttpAnswer completeAnswer(ParsedRequest const &Parsed, StreamReader &Reader) {
  std::string Text;
  std::uint32_t Tokens = 0;
  while (true) {
    auto const Item = Reader.pop();
    auto const *Token = std::get_if<StreamToken>(&Item);
    if (!Token) {
      if (auto const *Failure = std::get_if<FailureAnswer>(&Item))
        return answerOf(*Failure, Parsed.Request_.Id_);
      if (std::holds_alternative<StreamMoved>(Item))
        return answerOf(movedFailure(Parsed.Request_), Parsed.Request_.Id_);
      Reader.release(Delivery::Written);
      return answerOfCompletion(Text, Tokens, Parsed);
    }
    Text += Token->Text_;
    ++Tokens;
  }
}

} // namespace

/// Held while a request is in progress; releases its resources on destruction.
class RequestService::Admission {
public:
  Admission(DrainGate::ActiveRequest ActiveRequest, AccountLimiter &Limiter,
            AccountName Account)
      : ActiveRequest_(std::move(ActiveRequest)), Limiter_(&Limiter),
        Account_(std::move(Account)) {}
  Admission(Admission &&Other) noexcept
      : ActiveRequest_(std::move(Other.ActiveRequest_)),
        Limiter_(std::exchange(Other.Limiter_, nullptr)),
        Account_(std::move(Other.Account_)) {}
  Admission &operator=(Admission &&) = delete;
  ~Admission() {
    if (Limiter_)
      Limiter_->release(Account_);
  }

private:
  DrainGate::ActiveRequest ActiveRequest_;
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
  auto const Current = View_.configuration();
  auto const Parsed = parseRequest(Message, *Current, Bounds_, nextId(), Start);
  if (isError(Parsed))
    return refuse(errorOf(Parsed));
  auto const &Request = valueOf(Parsed).Request_;

  auto ActiveRequest = Gate_.enter();
  if (!ActiveRequest) {
    Metrics_.Refused_.add();
    return answerOf({{ErrorKind::Unavailable, "this entry instance is stopping",
                      "send the request again; another instance takes it"},
                     RunState::NotRun,
                     DrainRetryAfter},
                    Request.Id_);
  }
  auto const *Account = Current->account(Request.Account_);
  if (auto const Refusal =
          Limiter_.admit(*Account, tokensRequested(Request), Start)) {
    Metrics_.Refused_.add();
    return answerOf(*Refusal, Request.Id_);
  }
  Metrics_.Accepted_.add();
  auto Admitted = std::make_shared<Admission>(std::move(*ActiveRequest),
                                              Limiter_, Request.Account_);
  if (Request.Kind_ == ServiceKind::Plain)
    return answerPlain(valueOf(Parsed));
  return answerCompletion(valueOf(Parsed), std::move(Admitted));
}

CallerAnswer RequestService::answerPlain(ParsedRequest const &Parsed) {
  auto const &Request = Parsed.Request_;
  auto Report = Flows_.run(Request, [](std::uint32_t, std::string const &) {
    return Continue::Yes;
  });
  if (auto *Plain = std::get_if<flow::FinishPlain>(&Report.End_))
    return answerOfPlain(std::move(Plain->Answer_), Request.Id_);
  return answerOf(std::get<flow::FinishFailed>(Report.End_).Failure_,
                  Request.Id_);
}

/// Determines the answer's status from the first token or the failure.
CallerAnswer
RequestService::answerCompletion(ParsedRequest const &Parsed,
                                 std::shared_ptr<Admission> Admitted) {
  auto const Opened = Streams_.open(Parsed, std::move(Admitted));
  if (auto const *Failure = std::get_if<FailureAnswer>(&Opened))
    return answerOf(*Failure, Parsed.Request_.Id_);
  auto const &Reader = std::get<std::shared_ptr<StreamReader>>(Opened);
  if (Parsed.Form_.Streaming_ == Streaming::No)
    return completeAnswer(Parsed, *Reader);
  auto First = Reader->pop();
  if (auto const *Failure = std::get_if<FailureAnswer>(&First))
    return answerOf(*Failure, Parsed.Request_.Id_);
  return StreamAnswer{Parsed, std::move(First), Reader};
}

} // namespace laburnum
