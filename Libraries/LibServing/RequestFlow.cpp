#include <LibServing/FlowFailures.h>
#include <LibServing/RequestFlow.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr Duration InitialRetryPause = std::chrono::milliseconds(5);
constexpr std::uint32_t MaximumPauseDoublings = 6;
constexpr std::int32_t FirstErrorStatus = 400;
constexpr std::int32_t FirstServerErrorStatus = 500;

bool isCompleteAnswer(AttemptEvidence const &Evidence) {
  return Evidence.Progress_ == AttemptProgress::AnswerWhole &&
         Evidence.End_ == AttemptEnd::Answered;
}

/// Statuses of gateways and overloaded servers, where another server may
/// succeed.
bool isTransientStatus(std::int32_t Status) {
  return Status == 502 || Status == 503 || Status == 504;
}

Duration retryPause(std::uint32_t FailedAttempts) {
  auto const Doublings = std::min(FailedAttempts - 1, MaximumPauseDoublings);
  return InitialRetryPause * (1 << Doublings);
}

} // namespace

RequestFlow::RequestFlow(CallerRequest Request, ServerChooser &Chooser,
                         RetryAllowance &Retries)
    : Request_(std::move(Request)), Chooser_(Chooser), Retries_(Retries),
      Progress_(Request_.Produced_) {
  if (Progress_.count() > 0)
    CombinedRunState_ = RunState::MayHaveRun;
}

std::vector<flow::Action> RequestFlow::handle(flow::Event const &Event,
                                              TimePoint Now) {
  Actions Out;
  if (Finished_)
    return Out;
  std::visit([&](auto const &Alternative) { on(Alternative, Now, Out); },
             Event);
  return Out;
}

void RequestFlow::on(flow::Started const &, TimePoint Now, Actions &Out) {
  if (Stage_ != Stage::New)
    return;
  Retries_.countRequest(Request_.Service_, Now);
  if (hasAllTokens())
    return finishCompletion(Out);
  // A call without a key cannot be identified when resent, so a claim would be
  // useless: this flow dispatches it at most once.
  if (Request_.Idempotence_ == Idempotence::Idempotent || !Request_.Key_)
    return dispatch(Now, Out);
  Stage_ = Stage::Claiming;
  Out.push_back(flow::MakeClaim{Request_.Account_, *Request_.Key_,
                                Request_.Fingerprint_});
}

void RequestFlow::on(flow::ClaimResolved const &Event, TimePoint Now,
                     Actions &Out) {
  if (Stage_ != Stage::Claiming)
    return;
  if (auto const *Answered = std::get_if<ClaimAnswered>(&Event.Verdict_))
    return finishWithAnswer(Answered->Answer_, RunState::Ran, Out);
  if (std::holds_alternative<ClaimPending>(Event.Verdict_))
    return finishFailed(detail::claimPending(), Out);
  if (std::holds_alternative<ClaimKeyReused>(Event.Verdict_))
    return finishFailed(detail::claimKeyReused(), Out);
  if (auto const *Refused = std::get_if<ClaimUnavailable>(&Event.Verdict_))
    return finishFailed(detail::claimUnavailable(Refused->RetryAfter_), Out);
  ClaimHold_ = ClaimHold::Granted;
  if (CallerPresence_ == CallerPresence::Disconnected)
    return finishFailed(detail::callerDisconnected(RunState::NotRun), Out);
  dispatch(Now, Out);
}

void RequestFlow::on(flow::PieceReceived const &Event, TimePoint Now,
                     Actions &Out) {
  if (!isCurrent(Event.Piece_.Attempt_))
    return;
  switch (Progress_.accept(Event.Piece_, Now)) {
  case AppendResult::Known:
    return;
  case AppendResult::Next:
    if (Event.Piece_.Offset_ >= Request_.ResumeFrom_)
      Out.push_back(flow::SendToken{Event.Piece_.Offset_, Event.Piece_.Text_});
    return;
  case AppendResult::Gap:
    Out.push_back(flow::CancelAttempt{Attempt_});
    return recover({AttemptProgress::AnswerBegun, AttemptEnd::Cancelled, 0,
                    "the stream has a hole"},
                   Now, Out);
  }
}

void RequestFlow::on(flow::PlainAttemptEnded const &Event, TimePoint Now,
                     Actions &Out) {
  if (!isCurrent(Event.Attempt_))
    return;
  auto const &Evidence = Event.Result_.Evidence_;
  auto const &Answer = Event.Result_.Answer_;
  if (!isCompleteAnswer(Evidence))
    return recover(Evidence, Now, Out);
  // A service's answer to a non-idempotent call is final whatever its status,
  // and is forwarded unchanged.
  auto const Repeat =
      Request_.Idempotence_ == Idempotence::Idempotent &&
      isTransientStatus(Answer.Status_) &&
      Now + retryPause(FailedAttempts_ + 1) < Request_.Deadline_ &&
      Retries_.tryTake(Request_.Service_, Now);
  if (!Repeat) {
    releaseServer(Evidence, Now);
    return finishWithAnswer(Answer, RunState::Ran, Out);
  }
  CombinedRunState_ = RunState::Ran;
  FailedServers_.insert(Server_->Id_);
  ++FailedAttempts_;
  releaseServer(Evidence, Now);
  pauseForRetry(Out);
}

void RequestFlow::on(flow::CompletionAttemptEnded const &Event, TimePoint Now,
                     Actions &Out) {
  if (!isCurrent(Event.Attempt_))
    return;
  auto const &Evidence = Event.Result_.Evidence_;
  // Tokens computed after an earlier attempt ran count as recomputed.
  if (CombinedRunState_ != RunState::NotRun)
    Counts_.RecomputedTokens_ += Event.Result_.ComputedTokens_;
  if (!isCompleteAnswer(Evidence) || Evidence.Status_ >= FirstServerErrorStatus)
    return recover(Evidence, Now, Out);
  releaseServer(Evidence, Now);
  if (Evidence.Status_ >= FirstErrorStatus)
    return finishFailed(detail::engineRefusedRequest(Evidence.Status_), Out);
  finishCompletion(Out);
}

void RequestFlow::on(flow::ServerLeaving const &Event, TimePoint Now,
                     Actions &Out) {
  LeavingServers_.insert(Event.Server_);
  if (Stage_ != Stage::Attempting || Server_->Id_ != Event.Server_)
    return;
  if (Request_.Kind_ == ServiceKind::Plain)
    return;
  auto const Expected = Progress_.expectedRemaining(Request_.MaxTokens_);
  if (Expected && *Expected < Event.Remaining_)
    return;
  moveStream(Now, Out);
}

void RequestFlow::on(flow::RetryDue const &, TimePoint Now, Actions &Out) {
  if (Stage_ == Stage::Pausing)
    dispatch(Now, Out);
}

void RequestFlow::on(flow::CallerDisconnected const &, TimePoint Now,
                     Actions &Out) {
  CallerPresence_ = CallerPresence::Disconnected;
  // A pending claim must be resolved first: if it is granted, it is recorded as
  // not run, so that the caller can send the call again.
  if (Stage_ == Stage::Claiming)
    return;
  if (Stage_ != Stage::Attempting)
    return finishFailed(detail::callerDisconnected(CombinedRunState_), Out);
  if (Request_.Idempotence_ == Idempotence::NonIdempotent)
    return;
  cancelAttempt(Now, Out);
  finishFailed(detail::callerDisconnected(CombinedRunState_), Out);
}

// FIXME: A claim that is granted just after the deadline leaves an intent
// without an outcome, so that a later call with its key gets may_have_run.
void RequestFlow::on(flow::DeadlineReached const &, TimePoint Now,
                     Actions &Out) {
  if (Stage_ == Stage::Attempting)
    cancelAttempt(Now, Out);
  finishFailed(detail::deadlineExceeded(CombinedRunState_), Out);
}

bool RequestFlow::isCurrent(AttemptNumber Attempt) const {
  return Stage_ == Stage::Attempting && Attempt == Attempt_;
}

bool RequestFlow::hasAllTokens() const {
  return Request_.Kind_ == ServiceKind::Model && Progress_.count() > 0 &&
         Progress_.count() >= Request_.MaxTokens_;
}

bool RequestFlow::mayRepeat(RunState Ended) const {
  return Request_.Idempotence_ == Idempotence::Idempotent ||
         Ended == RunState::NotRun;
}

RouteQuery RequestFlow::routeQuery() const {
  RouteQuery Query{Request_.Service_,   Request_.Fingerprint_, Request_.Prompt_,
                   Request_.MaxTokens_, Request_.Priority_,    FailedServers_,
                   std::nullopt};
  Query.Excluded_.insert(LeavingServers_.begin(), LeavingServers_.end());
  return Query;
}

void RequestFlow::dispatch(TimePoint Now, Actions &Out) {
  if (Now >= Request_.Deadline_)
    return finishFailed(detail::deadlineExceeded(CombinedRunState_), Out);
  auto Query = routeQuery();
  if (auto const Pause = Chooser_.choiceDelay(Query, Now))
    return pause(std::min(*Pause, Request_.Deadline_ - Now), Out);
  auto const Chosen = Chooser_.choose(Query, Now);
  if (isError(Chosen))
    return finishFailed(detail::noServer(errorOf(Chosen), CombinedRunState_),
                        Out);
  ChosenWith_ = std::move(Query);
  startAttempt(valueOf(Chosen), Now, Out);
}

void RequestFlow::startAttempt(BackendServer const &Server, TimePoint Now,
                               Actions &Out) {
  Stage_ = Stage::Attempting;
  Server_ = Server;
  ++Attempt_;
  ++Counts_.Attempts_;
  if (Request_.Kind_ == ServiceKind::Plain)
    startPlain(Server, Now, Out);
  else
    startCompletion(Server, Now, Out);
}

void RequestFlow::startPlain(BackendServer const &Server, TimePoint Now,
                             Actions &Out) {
  PlainCall Call{Request_.Id_,     Attempt_,
                 Request_.Method_, Request_.Path_,
                 Request_.Fields_, Request_.Body_,
                 Request_.Key_,    Request_.Deadline_ - Now};
  Out.push_back(flow::StartPlainAttempt{Server, std::move(Call)});
}

void RequestFlow::startCompletion(BackendServer const &Server, TimePoint Now,
                                  Actions &Out) {
  Progress_.beginAttempt(Now);
  CompletionCall Call{Request_.Id_,
                      Attempt_,
                      Request_.Service_,
                      Request_.Prompt_,
                      Request_.MaxTokens_,
                      Request_.Priority_,
                      Progress_.count(),
                      Progress_.tokens(),
                      Request_.Deadline_ - Now};
  Out.push_back(flow::StartCompletionAttempt{Server, std::move(Call)});
}

void RequestFlow::releaseServer(AttemptEvidence const &Evidence,
                                TimePoint Now) {
  Chooser_.release(Server_->Id_, ChosenWith_, Evidence, Now);
  Server_.reset();
}

/// Whether a cancelled attempt ran is unknown.
void RequestFlow::cancelAttempt(TimePoint Now, Actions &Out) {
  Out.push_back(flow::CancelAttempt{Attempt_});
  releaseServer({AttemptProgress::RequestSent, AttemptEnd::Cancelled, 0, ""},
                Now);
  CombinedRunState_ = combine(CombinedRunState_, RunState::MayHaveRun);
}

/// Chooses the new server before the old attempt is cancelled: if there is
/// none, the stream stays on its server while that lasts.
void RequestFlow::moveStream(TimePoint Now, Actions &Out) {
  auto Query = routeQuery();
  if (Chooser_.choiceDelay(Query, Now))
    return;
  auto const Chosen = Chooser_.choose(Query, Now);
  if (isError(Chosen))
    return;
  cancelAttempt(Now, Out);
  ++Counts_.Moves_;
  ChosenWith_ = std::move(Query);
  startAttempt(valueOf(Chosen), Now, Out);
}

/// Continues after an attempt without a complete answer.
void RequestFlow::recover(AttemptEvidence const &Evidence, TimePoint Now,
                          Actions &Out) {
  auto const Ended = runStateOf(Evidence);
  auto const Previous = Server_->Id_;
  CombinedRunState_ = combine(CombinedRunState_, Ended);
  releaseServer(Evidence, Now);
  if (!mayRepeat(Ended))
    return finishFailed(
        detail::outcomeUnknown("the connection to the service was lost after "
                               "the call was sent"),
        Out);
  if (CallerPresence_ == CallerPresence::Disconnected)
    return finishFailed(detail::callerDisconnected(CombinedRunState_), Out);
  if (LeavingServers_.contains(Previous)) {
    ++Counts_.Moves_;
    return dispatch(Now, Out);
  }
  FailedServers_.insert(Previous);
  ++FailedAttempts_;
  if (Now + retryPause(FailedAttempts_) >= Request_.Deadline_ ||
      !Retries_.tryTake(Request_.Service_, Now))
    return finishFailed(detail::retriesExhausted(CombinedRunState_), Out);
  pauseForRetry(Out);
}

void RequestFlow::pauseForRetry(Actions &Out) {
  ++Counts_.Retries_;
  pause(retryPause(FailedAttempts_), Out);
}

void RequestFlow::pause(Duration Length, Actions &Out) {
  Stage_ = Stage::Pausing;
  Out.push_back(flow::WaitBeforeRetry{Length});
}

void RequestFlow::finishCompletion(Actions &Out) {
  Stage_ = Stage::Finished;
  Finished_ = true;
  Out.push_back(flow::FinishCompletion{Progress_.count()});
}

void RequestFlow::finishWithAnswer(PlainAnswer const &Answer, RunState State,
                                   Actions &Out) {
  record(State, Answer, Out);
  Stage_ = Stage::Finished;
  Finished_ = true;
  Out.push_back(flow::FinishPlain{Answer});
}

void RequestFlow::finishFailed(FailureAnswer Failure, Actions &Out) {
  record(Failure.RunState_, {}, Out);
  Stage_ = Stage::Finished;
  Finished_ = true;
  Out.push_back(flow::FinishFailed{std::move(Failure)});
}

/// Only the flow that holds the claim may record its outcome.
void RequestFlow::record(RunState State, PlainAnswer Answer, Actions &Out) {
  if (ClaimHold_ != ClaimHold::Granted)
    return;
  Out.push_back(flow::RecordOutcome{
      Request_.Account_, *Request_.Key_, {State, std::move(Answer)}});
}

} // namespace laburnum
