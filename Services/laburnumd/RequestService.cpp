#include "RequestService.h"

#include <thread>
#include <utility>

namespace laburnum {

namespace {

/// Tokens that wait for a caller who reads slowly.
constexpr std::size_t MostWaitingTokens = 256;
constexpr Duration DrainRetryAfter = std::chrono::seconds(1);

constexpr char ReadyPath[] = "/healthz/ready";
constexpr char LivePath[] = "/healthz/live";

double millisecondsSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(readClock() - Start).count();
}

HttpAnswer healthAnswer(int Status, std::string const &Body) {
  return {Status, "text/plain", Body, {}};
}

HttpAnswer answerOfPlain(PlainAnswer const &Answer, RequestId const &Id) {
  return {static_cast<int>(Answer.Status_),
          Answer.ContentType_,
          Answer.Body_,
          {{"Laburnum-Request-Id", Id.text()}}};
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
                               FlowResources const &Resources,
                               RequestBounds const &Bounds, std::uint64_t Seed)
    : View_(View), Limiter_(Limiter), Gate_(Gate), Metrics_(Metrics),
      Resources_(Resources), Bounds_(Bounds), Identifiers_(Seed) {}

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
  auto const Read = readRequest(Message, *InForce, Bounds_, nextId(), Start);
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
          Limiter_.admit(*Account, Request.MaxTokens_, Start)) {
    Metrics_.Refused_.add();
    return answerOf(*Refusal, Request.Id_);
  }
  Metrics_.Accepted_.add();
  Admission Held(std::move(*Pass), Limiter_, Request.Account_);
  if (Request.Kind_ == ServiceKind::Plain)
    return answerPlain(valueOf(Read));
  if (valueOf(Read).Form_.Streaming_ == Streaming::Yes)
    return answerStream(valueOf(Read), std::move(Held));
  return answerWholeCompletion(valueOf(Read));
}

FlowReport RequestService::runFlow(CallerRequest const &Request,
                                   TokenSink const &Sink) {
  auto const Start = readClock();
  bool IsFirst = true;
  auto const Counting = [&](std::uint32_t Offset, std::string const &Text) {
    if (IsFirst)
      Metrics_.FirstToken_.record(millisecondsSince(Start));
    IsFirst = false;
    Metrics_.Tokens_.add();
    return Sink(Offset, Text);
  };
  auto Report = FlowRunner(Resources_, Request, Counting).run();
  Metrics_.Attempts_.add(Report.Counts_.Attempts_);
  Metrics_.Retries_.add(Report.Counts_.Retries_);
  Metrics_.Moves_.add(Report.Counts_.Moves_);
  Metrics_.RecomputedTokens_.add(Report.Counts_.RecomputedTokens_);
  Metrics_.WholeAnswer_.record(millisecondsSince(Start));
  if (std::holds_alternative<flow::FinishFailed>(Report.End_))
    Metrics_.Failed_.add();
  else
    Metrics_.Completed_.add();
  return Report;
}

CallerAnswer RequestService::answerPlain(ReadRequest const &Read) {
  auto const &Request = Read.Request_;
  auto const Report = runFlow(Request, [](std::uint32_t, std::string const &) {
    return Continue::Yes;
  });
  if (auto const *Plain = std::get_if<flow::FinishPlain>(&Report.End_))
    return answerOfPlain(Plain->Answer_, Request.Id_);
  return answerOf(std::get<flow::FinishFailed>(Report.End_).Failure_,
                  Request.Id_);
}

CallerAnswer RequestService::answerWholeCompletion(ReadRequest const &Read) {
  std::string Text;
  auto const Report =
      runFlow(Read.Request_, [&Text](std::uint32_t, std::string const &Piece) {
        Text += Piece;
        return Continue::Yes;
      });
  if (auto const *Whole = std::get_if<flow::FinishCompletion>(&Report.End_))
    return answerOfCompletion(Text, Whole->Tokens_, Read);
  return answerOf(std::get<flow::FinishFailed>(Report.End_).Failure_,
                  Read.Request_.Id_);
}

/// The flow runs on a thread of its own, since the answer's status can be
/// chosen only when its first token, or its failure, is known.
CallerAnswer RequestService::answerStream(ReadRequest const &Read,
                                          Admission Held) {
  auto const Pipe = std::make_shared<TokenPipe>(MostWaitingTokens);
  auto const Run = [this, Pipe, Request = Read.Request_,
                    Held = std::make_shared<Admission>(std::move(Held))] {
    auto const Report = runFlow(
        Request, [&Pipe](std::uint32_t Offset, std::string const &Text) {
          return Pipe->push(TokenOut{Offset, Text});
        });
    if (auto const *Failed = std::get_if<flow::FinishFailed>(&Report.End_))
      Pipe->push(Failed->Failure_);
    else
      Pipe->push(StreamWhole{});
  };
  std::thread(Run).detach();
  auto First = Pipe->pop();
  if (auto const *Failure = std::get_if<FailureAnswer>(&First))
    return answerOf(*Failure, Read.Request_.Id_);
  return StreamAnswer{Read, std::move(First), Pipe};
}

} // namespace laburnum
