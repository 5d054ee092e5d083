#include <FaultMatrix/Callers.h>

#include <algorithm>

namespace laburnum::faults {

namespace {

using Status = CallerState::Status;

constexpr Duration Persistence = std::chrono::minutes(10);
constexpr Duration Silence = std::chrono::seconds(2);
constexpr Duration PauseAfterBreak = std::chrono::milliseconds(20);
constexpr Duration PauseAfterDoubt = std::chrono::seconds(1);

} // namespace

std::size_t Callers::start(CallerRequest Request, std::size_t Instance,
                           Duration Patience) {
  auto const Number = Callers_.size();
  auto &Of = Callers_[Number];
  Of.Request_ = std::move(Request);
  Of.GiveUpAt_ = Queue_.now() + Persistence;
  Of.Patience_ = Patience;
  send(Number, Instance);
  return Number;
}

void Callers::sendAgain(std::size_t Caller, std::size_t Instance) {
  auto &Of = Callers_.at(Caller);
  if (Of.Status_ == Status::Answered)
    return;
  send(Caller, Instance);
}

void Callers::send(std::size_t Caller, std::size_t Instance) {
  auto &Of = Callers_.at(Caller);
  // A stream is read from one connection at a time.
  if (Of.Request_.Kind_ == ServiceKind::Model)
    closeAll(Of);
  ++Of.Sendings_;
  Of.NextInstance_ = (Instance + 1) % Instances_;
  auto Request = Of.Request_;
  Request.Id_ = RequestId("s" + std::to_string(NextSending_++));
  Request.Deadline_ = Queue_.now() + Of.Patience_;
  Request.ResumeFrom_ = Of.Tokens_;
  Sendings_[Request.Id_] = Caller;
  Of.Open_.insert(Request.Id_);
  Send_(Instance, {Request, Caller});
  watchForSilence(Caller, ++Of.Signs_);
}

void Callers::watchForSilence(std::size_t Caller, std::uint64_t Signs) {
  Queue_.after(Silence, [=, this] {
    auto &Of = Callers_.at(Caller);
    if (Of.Status_ == Status::Answered || Of.Signs_ != Signs || Of.IsResending_)
      return;
    closeAll(Of);
    resendLater(Caller, PauseAfterBreak);
  });
}

void Callers::resendLater(std::size_t Caller, Duration Pause) {
  auto &Of = Callers_.at(Caller);
  if (Of.IsResending_ || Queue_.now() >= Of.GiveUpAt_)
    return;
  Of.IsResending_ = true;
  Queue_.after(Pause, [=, this] {
    auto &Again = Callers_.at(Caller);
    Again.IsResending_ = false;
    if (Again.Status_ != Status::Answered)
      send(Caller, Again.NextInstance_);
  });
}

void Callers::closeAll(CallerState &Of) {
  for (auto const &Id : std::exchange(Of.Open_, {}))
    Leave_(Id);
}

bool Callers::isOpen(RequestId const &Id) const {
  auto const Found = Sendings_.find(Id);
  return Found != Sendings_.end() &&
         Callers_.at(Found->second).Open_.contains(Id);
}

void Callers::onToken(RequestId const &Id, flow::SendToken const &Token) {
  if (!isOpen(Id))
    return;
  auto const Caller = Sendings_.at(Id);
  auto &Of = Callers_.at(Caller);
  auto const &Prompt = Of.Request_.Prompt_;
  if (Token.Offset_ != Of.Tokens_)
    Oracle_.violate("stream " + Prompt + " got token " +
                    std::to_string(Token.Offset_) + " after " +
                    std::to_string(Of.Tokens_) + " tokens");
  else if (Token.Text_ != tokenText(Prompt, Token.Offset_))
    Oracle_.violate("stream " + Prompt + " got wrong text at " +
                    std::to_string(Token.Offset_));
  ++Of.Tokens_;
  watchForSilence(Caller, ++Of.Signs_);
}

void Callers::onEnd(RequestId const &Id, FlowEnd const &End) {
  if (!isOpen(Id))
    return;
  auto const Caller = Sendings_.at(Id);
  auto &Of = Callers_.at(Caller);
  Of.Open_.erase(Id);
  if (auto const *Plain = std::get_if<flow::FinishPlain>(&End))
    return onAnswer(Of, Plain->Answer_);
  if (auto const *Failed = std::get_if<flow::FinishFailed>(&End))
    return onFailure(Caller, Id, Failed->Failure_);
  auto const Whole = std::get<flow::FinishCompletion>(End).Tokens_;
  if (Of.Tokens_ != Of.Request_.MaxTokens_ || Whole != Of.Tokens_)
    Oracle_.violate("stream " + Of.Request_.Prompt_ + " was called whole at " +
                    std::to_string(Of.Tokens_) + " tokens");
  Of.Status_ = Status::Answered;
}

void Callers::onAnswer(CallerState &Of, PlainAnswer const &Answer) {
  auto const Key = Of.Request_.Key_->text();
  if (Answer.Body_ != answerText(Key))
    Oracle_.violate("call " + Key + " got another answer: " + Answer.Body_);
  if (Oracle_.runsOf(Key) == 0)
    Oracle_.violate("call " + Key + " was answered and never ran");
  Of.Status_ = Status::Answered;
}

/// A caller that is in doubt asks again now and then, which must be harmless.
void Callers::onFailure(std::size_t Caller, RequestId const &Id,
                        FailureAnswer const &Failure) {
  auto &Of = Callers_.at(Caller);
  Oracle_.toldFailure(Id, Failure.RunState_);
  if (Of.Status_ == Status::Answered)
    return;
  Of.Status_ = Failure.RunState_ == RunState::NotRun ? Status::Refused
                                                     : Status::Doubtful;
  if (Of.Open_.empty())
    resendLater(Caller, Failure.RetryAfter_.value_or(PauseAfterDoubt));
}

void Callers::onBroken(RequestId const &Id) {
  if (!isOpen(Id))
    return;
  auto const Caller = Sendings_.at(Id);
  auto &Of = Callers_.at(Caller);
  Of.Open_.erase(Id);
  if (Of.Open_.empty() && Of.Status_ != Status::Answered)
    resendLater(Caller, PauseAfterBreak);
}

} // namespace laburnum::faults
