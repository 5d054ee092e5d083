#include <FaultMatrix/Entry.h>

#include <utility>

namespace laburnum::faults {

namespace {

constexpr Duration ThreadLatency = std::chrono::microseconds(100);

} // namespace

void Entry::accept(Submission const &Submitted) {
  auto ActiveRequest = Gate_.enter();
  if (!ActiveRequest)
    return refuseWhileStopping(Submitted);
  auto const Id = Submitted.Request_.Id_;
  auto &NewCall = Calls_[Id];
  NewCall.Submission_ = Submitted;
  NewCall.ActiveRequest_.emplace(std::move(*ActiveRequest));
  NewCall.Flow_ =
      std::make_unique<RequestFlow>(Submitted.Request_, Chooser_, Allowance_);
  auto const Remaining = Submitted.Request_.Deadline_ - Hooks_.Queue_.now();
  later(std::max(Remaining, Duration(0)),
        [this, Id] { feed(Id, flow::DeadlineReached{}); });
  feed(Id, flow::Started{});
}

void Entry::refuseWhileStopping(Submission const &Submitted) {
  if (Hooks_.ActiveMutants_.contains(Mutant::DispatchWhileStopping))
    Hooks_.Oracle_.ran(Submitted.Request_.Key_->text(), Submitted.Request_.Id_);
  reportStep(Step::RefusedWhileStopping);
  FailureAnswer const Refusal{
      {ErrorKind::Unavailable, "stopping", "send it elsewhere"},
      RunState::NotRun,
      std::chrono::seconds(1)};
  Hooks_.OnEnd_(Submitted.Request_.Id_, flow::FinishFailed{Refusal});
}

void Entry::callerDisconnected(RequestId const &Id) {
  feed(Id, flow::CallerDisconnected{});
}

/// Ignores late events, whose call has ended. Mutant::IgnoreAttempts attributes
/// events of older attempts to the current one.
void Entry::onAttempt(AttemptOwner const &Owner, ServerId const &Server,
                      flow::Event const &Event) {
  auto const Found = Calls_.find(Owner.Request_);
  if (Found == Calls_.end())
    return;
  auto &OwningCall = Found->second;
  auto Delivered = Event;
  if (Hooks_.ActiveMutants_.contains(Mutant::IgnoreAttempts)) {
    if (auto *Piece = std::get_if<flow::PieceReceived>(&Delivered))
      Piece->Piece_.Attempt_ = OwningCall.Current_;
    if (auto *End = std::get_if<flow::CompletionAttemptEnded>(&Delivered))
      End->Attempt_ = OwningCall.Current_;
    if (auto *End = std::get_if<flow::PlainAttemptEnded>(&Delivered))
      End->Attempt_ = OwningCall.Current_;
  }
  auto const *Broken = std::get_if<flow::CompletionAttemptEnded>(&Delivered);
  if (Broken && Broken->Result_.Evidence_.End_ != AttemptEnd::Answered &&
      Hooks_.ActiveMutants_.contains(Mutant::NoRecovery))
    Delivered = flow::DeadlineReached{};
  auto const *Piece = std::get_if<flow::PieceReceived>(&Delivered);
  if (Piece && Hooks_.ActiveMutants_.contains(Mutant::IgnoreOffsets))
    Hooks_.OnToken_(Owner.Request_,
                    {OwningCall.Submission_.Request_.ResumeFrom_ +
                         OwningCall.ForwardedPieces_++,
                     Piece->Piece_.Text_});
  bool const IsRefusal =
      std::holds_alternative<flow::PlainAttemptEnded>(Delivered) &&
      std::get<flow::PlainAttemptEnded>(Delivered).Result_.Evidence_.End_ ==
          AttemptEnd::Refused;
  feed(Owner.Request_, Delivered);
  if (IsRefusal)
    feed(servers::Event(servers::ServerRefused{Server}));
}

void Entry::feed(RequestId const &Id, flow::Event const &Event) {
  auto const Found = Calls_.find(Id);
  if (Found == Calls_.end())
    return;
  auto &OwningCall = Found->second;
  for (auto const &Action :
       OwningCall.Flow_->handle(Event, Hooks_.Queue_.now()))
    std::visit([&](auto const &FlowAction) { perform(OwningCall, FlowAction); },
               Action);
  if (OwningCall.Flow_->isFinished())
    Calls_.erase(Id);
}

AttemptOwner Entry::owner(Call const &OwningCall, AttemptNumber Attempt) const {
  auto const &Request = OwningCall.Submission_.Request_;
  return {Number_, Incarnation_, Request.Id_, Attempt,
          Request.Key_ ? Request.Key_->text() : Request.Id_.text()};
}

void Entry::perform(Call &OwningCall, flow::MakeClaim const &Action) {
  auto const Id = OwningCall.Submission_.Request_.Id_;
  auto const Ticket = NextTicket_++;
  PendingClaims_[Ticket] = {Id, Action};
  reportStep(Step::ClaimRequested);
  later(ThreadLatency, [this, Action, Ticket,
                        Deadline = OwningCall.Submission_.Request_.Deadline_] {
    feed(claims::Event(claims::ClaimRequest{
        Ticket, Action.Account_, Action.Key_, Action.Fingerprint_, Deadline}));
  });
  if (Hooks_.ActiveMutants_.contains(Mutant::DispatchBeforeVerdict))
    later(ThreadLatency,
          [this, Id] { feed(Id, flow::ClaimResolved{ClaimGranted{}}); });
}

void Entry::perform(Call &OwningCall, flow::StartPlainAttempt const &Action) {
  OwningCall.Current_ = Action.Call_.Attempt_;
  Hooks_.Backends_.startPlain(owner(OwningCall, OwningCall.Current_), Action);
}

void Entry::perform(Call &OwningCall,
                    flow::StartCompletionAttempt const &Action) {
  OwningCall.Current_ = Action.Call_.Attempt_;
  Hooks_.Backends_.startCompletion(owner(OwningCall, OwningCall.Current_),
                                   Action);
}

void Entry::perform(Call &OwningCall, flow::CancelAttempt const &Action) {
  Hooks_.Backends_.cancel(owner(OwningCall, Action.Attempt_));
}

void Entry::perform(Call &OwningCall, flow::SendToken const &Action) {
  if (!Hooks_.ActiveMutants_.contains(Mutant::IgnoreOffsets))
    Hooks_.OnToken_(OwningCall.Submission_.Request_.Id_, Action);
}

void Entry::perform(Call &, flow::RecordOutcome const &Action) {
  reportStep(Step::Answered);
  later(ThreadLatency, [this, Action] {
    feed(claims::Event(
        claims::OutcomeKnown{Action.Account_, Action.Key_, Action.Outcome_}));
  });
}

void Entry::perform(Call &OwningCall, flow::WaitBeforeRetry const &Action) {
  later(Action.Pause_, [this, Id = OwningCall.Submission_.Request_.Id_] {
    feed(Id, flow::RetryDue{});
  });
}

void Entry::perform(Call &OwningCall, flow::FinishPlain const &Action) {
  finish(OwningCall, Action);
}

void Entry::perform(Call &OwningCall, flow::FinishCompletion const &Action) {
  finish(OwningCall, Action);
}

void Entry::perform(Call &OwningCall, flow::FinishFailed const &Action) {
  auto Reported = Action;
  if (Hooks_.ActiveMutants_.contains(Mutant::SayNotRun))
    Reported.Failure_.RunState_ = RunState::NotRun;
  finish(OwningCall, Reported);
}

void Entry::finish(Call &OwningCall, FlowEnd const &End) {
  Hooks_.OnEnd_(OwningCall.Submission_.Request_.Id_, End);
}

} // namespace laburnum::faults
