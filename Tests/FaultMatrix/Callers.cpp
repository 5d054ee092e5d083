#include <FaultMatrix/Callers.h>

#include <algorithm>

namespace laburnum::faults {

namespace {

using Status = CallerState::Status;

constexpr Duration MaxRetryTime = std::chrono::minutes(10);
constexpr Duration ProgressTimeout = std::chrono::seconds(2);
constexpr Duration PauseAfterBreak = std::chrono::milliseconds(20);
constexpr Duration PauseAfterUnknownOutcome = std::chrono::seconds(1);

} // namespace

std::size_t Callers::start(CallerRequest Request, std::size_t Instance,
                           Duration Timeout) {
  auto const Number = Callers_.size();
  auto &State = Callers_[Number];
  State.Request_ = std::move(Request);
  State.RetryUntil_ = Queue_.now() + MaxRetryTime;
  State.Timeout_ = Timeout;
  send(Number, Instance);
  return Number;
}

void Callers::resubmit(std::size_t Caller, std::size_t Instance) {
  auto &State = Callers_.at(Caller);
  if (State.Status_ == Status::Answered)
    return;
  send(Caller, Instance);
}

void Callers::send(std::size_t Caller, std::size_t Instance) {
  auto &State = Callers_.at(Caller);
  // A stream is read from only one connection at a time.
  if (State.Request_.Kind_ == ServiceKind::Model)
    closeAll(State);
  ++State.Submissions_;
  State.NextInstance_ = (Instance + 1) % Instances_;
  auto Request = State.Request_;
  Request.Id_ = RequestId("s" + std::to_string(NextSubmission_++));
  Request.Deadline_ = Queue_.now() + State.Timeout_;
  Request.ResumeFrom_ = State.Tokens_;
  Submissions_[Request.Id_] = Caller;
  State.OpenSubmissions_.insert(Request.Id_);
  Send_(Instance, {Request, Caller});
  scheduleProgressCheck(Caller, ++State.ProgressCount_);
}

void Callers::scheduleProgressCheck(std::size_t Caller,
                                    std::uint64_t ProgressCount) {
  Queue_.after(ProgressTimeout, [=, this] {
    auto &State = Callers_.at(Caller);
    if (State.Status_ == Status::Answered ||
        State.ProgressCount_ != ProgressCount || State.IsResending_)
      return;
    closeAll(State);
    resendLater(Caller, PauseAfterBreak);
  });
}

void Callers::resendLater(std::size_t Caller, Duration Pause) {
  auto &State = Callers_.at(Caller);
  if (State.IsResending_ || Queue_.now() >= State.RetryUntil_)
    return;
  State.IsResending_ = true;
  Queue_.after(Pause, [=, this] {
    auto &Current = Callers_.at(Caller);
    Current.IsResending_ = false;
    if (Current.Status_ != Status::Answered)
      send(Caller, Current.NextInstance_);
  });
}

void Callers::closeAll(CallerState &State) {
  for (auto const &Id : std::exchange(State.OpenSubmissions_, {}))
    Leave_(Id);
}

bool Callers::isOpen(RequestId const &Id) const {
  auto const Found = Submissions_.find(Id);
  return Found != Submissions_.end() &&
         Callers_.at(Found->second).OpenSubmissions_.contains(Id);
}

void Callers::onToken(RequestId const &Id, flow::SendToken const &Token) {
  if (!isOpen(Id))
    return;
  auto const Caller = Submissions_.at(Id);
  auto &State = Callers_.at(Caller);
  auto const &Prompt = State.Request_.Prompt_;
  if (Token.Offset_ != State.Tokens_)
    Oracle_.violate("stream " + Prompt + " got token " +
                    std::to_string(Token.Offset_) + " after " +
                    std::to_string(State.Tokens_) + " tokens");
  else if (Token.Text_ != tokenText(Prompt, Token.Offset_))
    Oracle_.violate("stream " + Prompt + " got wrong text at " +
                    std::to_string(Token.Offset_));
  ++State.Tokens_;
  scheduleProgressCheck(Caller, ++State.ProgressCount_);
}

void Callers::onEnd(RequestId const &Id, FlowEnd const &End) {
  if (!isOpen(Id))
    return;
  auto const Caller = Submissions_.at(Id);
  auto &State = Callers_.at(Caller);
  State.OpenSubmissions_.erase(Id);
  if (auto const *Plain = std::get_if<flow::FinishPlain>(&End))
    return onAnswer(State, Plain->Answer_);
  if (auto const *Failed = std::get_if<flow::FinishFailed>(&End))
    return onFailure(Caller, Id, Failed->Failure_);
  auto const ReportedTokens = std::get<flow::FinishCompletion>(End).Tokens_;
  if (State.Tokens_ != State.Request_.MaxTokens_ ||
      ReportedTokens != State.Tokens_)
    Oracle_.violate("stream " + State.Request_.Prompt_ +
                    " was called whole at " + std::to_string(State.Tokens_) +
                    " tokens");
  State.Status_ = Status::Answered;
}

void Callers::onAnswer(CallerState &State, PlainAnswer const &Answer) {
  auto const Key = State.Request_.Key_->text();
  if (Answer.Body_ != answerText(Key))
    Oracle_.violate("call " + Key + " got another answer: " + Answer.Body_);
  if (Oracle_.runsOf(Key) == 0)
    Oracle_.violate("call " + Key + " was answered and never ran");
  State.Status_ = Status::Answered;
}

/// A caller that doesn't know the outcome submits its request again after a
/// pause, which must be harmless.
void Callers::onFailure(std::size_t Caller, RequestId const &Id,
                        FailureAnswer const &Failure) {
  auto &State = Callers_.at(Caller);
  Oracle_.onFailureReported(Id, Failure.RunState_);
  if (State.Status_ == Status::Answered)
    return;
  State.Status_ = Failure.RunState_ == RunState::NotRun ? Status::Refused
                                                        : Status::Indeterminate;
  if (State.OpenSubmissions_.empty())
    resendLater(Caller, Failure.RetryAfter_.value_or(PauseAfterUnknownOutcome));
}

void Callers::onBroken(RequestId const &Id) {
  if (!isOpen(Id))
    return;
  auto const Caller = Submissions_.at(Id);
  auto &State = Callers_.at(Caller);
  State.OpenSubmissions_.erase(Id);
  if (State.OpenSubmissions_.empty() && State.Status_ != Status::Answered)
    resendLater(Caller, PauseAfterBreak);
}

} // namespace laburnum::faults
