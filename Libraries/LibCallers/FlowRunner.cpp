#include <LibCallers/FlowRunner.h>

#include <thread>
#include <utility>

namespace laburnum {

FlowRunner::FlowRunner(FlowResources const &Resources,
                       CallerRequest const &Request, TokenSink Sink)
    : Resources_(Resources), Request_(Request), Sink_(std::move(Sink)),
      Flow_(Request, Resources.Chooser_, Resources.Retries_) {}

FlowReport FlowRunner::run() {
  feed(flow::Started{});
  while (!End_ && !Pending_.empty()) {
    auto const Next = std::move(Pending_.front());
    Pending_.pop_front();
    perform(Next);
  }
  // Actions after the final answer, such as recording an outcome, still run.
  while (!Pending_.empty()) {
    auto const Next = std::move(Pending_.front());
    Pending_.pop_front();
    perform(Next);
  }
  if (!End_)
    End_ =
        flow::FinishFailed{{{ErrorKind::Internal, "the request came to no end",
                             "report this with the request identifier"},
                            RunState::MayHaveRun,
                            std::nullopt}};
  return {std::move(*End_), Flow_.counts(), AnswerMemory_};
}

/// Cancelling, sending and recording are performed at once; other actions are
/// queued.
static bool isImmediate(flow::Action const &Action) {
  return std::holds_alternative<flow::CancelAttempt>(Action) ||
         std::holds_alternative<flow::SendToken>(Action) ||
         std::holds_alternative<flow::RecordOutcome>(Action);
}

void FlowRunner::feed(flow::Event const &Event) {
  for (auto const &Action : Flow_.handle(Event, readClock())) {
    if (isImmediate(Action))
      perform(Action);
    else
      Pending_.push_back(Action);
  }
}

void FlowRunner::perform(flow::Action const &Action) {
  std::visit([this](auto const &Alternative) { perform(Alternative); }, Action);
}

void FlowRunner::perform(flow::MakeClaim const &Action) {
  feed(flow::ClaimResolved{
      Resources_.Claims_.claim(Action, Request_.Deadline_)});
}

void FlowRunner::perform(flow::StartPlainAttempt const &Action) {
  AnswerMemory_.reset();
  auto Outcome = Resources_.Backends_.call(Action.Server_, Action.Call_);
  AnswerMemory_ = Outcome.Memory_;
  feed(flow::PlainAttemptEnded{Action.Call_.Attempt_, std::move(Outcome)});
}

void FlowRunner::perform(flow::StartCompletionAttempt const &Action) {
  CurrentAttempt_ = Action.Call_.Attempt_;
  IsCurrentCancelled_ = false;
  HasReportedLeaving_ = false;
  auto const &Server = Action.Server_.Id_;
  auto Outcome = Resources_.Backends_.complete(
      Action.Server_, Action.Call_,
      [&](TokenPiece const &Piece) { return takePiece(Server, Piece); });
  CurrentAttempt_ = 0;
  feed(flow::CompletionAttemptEnded{Action.Call_.Attempt_, std::move(Outcome)});
}

Continue FlowRunner::takePiece(ServerId const &Server,
                               TokenPiece const &Piece) {
  auto const Now = readClock();
  if (Now >= Request_.Deadline_) {
    feed(flow::DeadlineReached{});
    return Continue::No;
  }
  feed(flow::PieceReceived{Piece});
  if (!HasReportedLeaving_ && !IsCurrentCancelled_) {
    if (auto const Remaining = Resources_.Leaving_.remaining(Server, Now)) {
      HasReportedLeaving_ = true;
      feed(flow::ServerLeaving{Server, *Remaining});
    }
  }
  return IsCurrentCancelled_ ? Continue::No : Continue::Yes;
}

void FlowRunner::perform(flow::CancelAttempt const &Action) {
  if (Action.Attempt_ == CurrentAttempt_)
    IsCurrentCancelled_ = true;
}

void FlowRunner::perform(flow::SendToken const &Action) {
  if (Sink_(Action.Offset_, Action.Text_) == Continue::No)
    feed(flow::CallerDisconnected{});
}

void FlowRunner::perform(flow::RecordOutcome const &Action) {
  Resources_.Claims_.record(Action);
}

void FlowRunner::perform(flow::WaitBeforeRetry const &Action) {
  std::this_thread::sleep_for(Action.Pause_);
  feed(flow::RetryDue{});
}

} // namespace laburnum
