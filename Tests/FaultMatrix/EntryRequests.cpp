#include <FaultMatrix/Entry.h>

#include <utility>

namespace laburnum::faults {

namespace {

constexpr Duration ThreadHop = std::chrono::microseconds(100);

} // namespace

void Entry::accept(Sending const &Sent) {
  auto Pass = Gate_.enter();
  if (!Pass)
    return refuseWhileStopping(Sent);
  auto const Id = Sent.Request_.Id_;
  auto &Mine = Calls_[Id];
  Mine.Sent_ = Sent;
  Mine.Pass_.emplace(std::move(*Pass));
  Mine.Flow_ =
      std::make_unique<RequestFlow>(Sent.Request_, Chooser_, Allowance_);
  auto const Left = Sent.Request_.Deadline_ - Hooks_.Queue_.now();
  later(std::max(Left, Duration(0)),
        [this, Id] { feed(Id, flow::DeadlineReached{}); });
  feed(Id, flow::Started{});
}

void Entry::refuseWhileStopping(Sending const &Sent) {
  if (Hooks_.Out_.contains(Mutant::DispatchWhileStopping))
    Hooks_.Oracle_.ran(Sent.Request_.Key_->text(), Sent.Request_.Id_);
  tell(Step::RefusedWhileStopping);
  FailureAnswer const Refusal{
      {ErrorKind::Unavailable, "stopping", "send it elsewhere"},
      RunState::NotRun,
      std::chrono::seconds(1)};
  Hooks_.TellEnd_(Sent.Request_.Id_, flow::FinishFailed{Refusal});
}

void Entry::callerDisconnected(RequestId const &Id) {
  feed(Id, flow::CallerDisconnected{});
}

/// Late events find no call any more; the mutant that ignores attempt numbers
/// gives them to the present attempt.
void Entry::onAttempt(AttemptOwner const &Owner, ServerId const &Server,
                      flow::Event const &Event) {
  auto const Found = Calls_.find(Owner.Request_);
  if (Found == Calls_.end())
    return;
  auto &Of = Found->second;
  auto Seen = Event;
  if (Hooks_.Out_.contains(Mutant::IgnoreAttempts)) {
    if (auto *Piece = std::get_if<flow::PieceReceived>(&Seen))
      Piece->Piece_.Attempt_ = Of.Current_;
    if (auto *End = std::get_if<flow::CompletionAttemptEnded>(&Seen))
      End->Attempt_ = Of.Current_;
    if (auto *End = std::get_if<flow::PlainAttemptEnded>(&Seen))
      End->Attempt_ = Of.Current_;
  }
  auto const *Broken = std::get_if<flow::CompletionAttemptEnded>(&Seen);
  if (Broken && Broken->Result_.Evidence_.End_ != AttemptEnd::Answered &&
      Hooks_.Out_.contains(Mutant::NoRecovery))
    Seen = flow::DeadlineReached{};
  auto const *Piece = std::get_if<flow::PieceReceived>(&Seen);
  if (Piece && Hooks_.Out_.contains(Mutant::IgnoreOffsets))
    Hooks_.TellToken_(
        Owner.Request_,
        {Of.Sent_.Request_.ResumeFrom_ + Of.Passed_++, Piece->Piece_.Text_});
  bool const IsRefusal =
      std::holds_alternative<flow::PlainAttemptEnded>(Seen) &&
      std::get<flow::PlainAttemptEnded>(Seen).Result_.Evidence_.End_ ==
          AttemptEnd::Refused;
  feed(Owner.Request_, Seen);
  if (IsRefusal)
    feed(servers::Event(servers::ServerRefused{Server}));
}

void Entry::feed(RequestId const &Id, flow::Event const &Event) {
  auto const Found = Calls_.find(Id);
  if (Found == Calls_.end())
    return;
  auto &Of = Found->second;
  for (auto const &Action : Of.Flow_->handle(Event, Hooks_.Queue_.now()))
    std::visit([&](auto const &One) { perform(Of, One); }, Action);
  if (Of.Flow_->isFinished())
    Calls_.erase(Id);
}

AttemptOwner Entry::owner(Call const &Of, AttemptNumber Attempt) const {
  auto const &Request = Of.Sent_.Request_;
  return {Number_, Life_, Request.Id_, Attempt,
          Request.Key_ ? Request.Key_->text() : Request.Id_.text()};
}

void Entry::perform(Call &Of, flow::MakeClaim const &Action) {
  auto const Id = Of.Sent_.Request_.Id_;
  auto const Ticket = NextTicket_++;
  Claiming_[Ticket] = {Id, Action};
  tell(Step::ClaimRequested);
  later(ThreadHop, [this, Action, Ticket,
                    Deadline = Of.Sent_.Request_.Deadline_] {
    feed(claims::Event(claims::ClaimRequest{
        Ticket, Action.Account_, Action.Key_, Action.Fingerprint_, Deadline}));
  });
  if (Hooks_.Out_.contains(Mutant::DispatchBeforeVerdict))
    later(ThreadHop,
          [this, Id] { feed(Id, flow::ClaimResolved{ClaimGranted{}}); });
}

void Entry::perform(Call &Of, flow::StartPlainAttempt const &Action) {
  Of.Current_ = Action.Call_.Attempt_;
  Hooks_.Backends_.startPlain(owner(Of, Of.Current_), Action);
}

void Entry::perform(Call &Of, flow::StartCompletionAttempt const &Action) {
  Of.Current_ = Action.Call_.Attempt_;
  Hooks_.Backends_.startCompletion(owner(Of, Of.Current_), Action);
}

void Entry::perform(Call &Of, flow::CancelAttempt const &Action) {
  Hooks_.Backends_.cancel(owner(Of, Action.Attempt_));
}

void Entry::perform(Call &Of, flow::SendToken const &Action) {
  if (!Hooks_.Out_.contains(Mutant::IgnoreOffsets))
    Hooks_.TellToken_(Of.Sent_.Request_.Id_, Action);
}

void Entry::perform(Call &, flow::RecordOutcome const &Action) {
  tell(Step::Answered);
  later(ThreadHop, [this, Action] {
    feed(claims::Event(
        claims::OutcomeKnown{Action.Account_, Action.Key_, Action.Outcome_}));
  });
}

void Entry::perform(Call &Of, flow::WaitBeforeRetry const &Action) {
  later(Action.Pause_,
        [this, Id = Of.Sent_.Request_.Id_] { feed(Id, flow::RetryDue{}); });
}

void Entry::perform(Call &Of, flow::FinishPlain const &Action) {
  finish(Of, Action);
}

void Entry::perform(Call &Of, flow::FinishCompletion const &Action) {
  finish(Of, Action);
}

void Entry::perform(Call &Of, flow::FinishFailed const &Action) {
  auto Told = Action;
  if (Hooks_.Out_.contains(Mutant::SayNotRun))
    Told.Failure_.RunState_ = RunState::NotRun;
  finish(Of, Told);
}

void Entry::finish(Call &Of, FlowEnd const &End) {
  Hooks_.TellEnd_(Of.Sent_.Request_.Id_, End);
}

} // namespace laburnum::faults
