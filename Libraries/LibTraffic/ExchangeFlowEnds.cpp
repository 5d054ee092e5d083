// Whether a stream that its server has ended is whole.

#include <LibTraffic/ExchangeFlow.h>

#include <utility>

namespace laburnum {

using namespace exchange;

namespace {

/// By how much a server's timer may be early.
constexpr std::chrono::milliseconds TimerTolerance{10};

} // namespace

bool ExchangeFlow::mayHaveStoppedAtDeadline() const {
  return Now_ >= AttemptDeadline_ - TimerTolerance;
}

void ExchangeFlow::endStream(AnswerEnd End) {
  if (Splitter_.isInsideEvent())
    return endAttempt(true, "the stream ended inside an event");
  // Another instance marks the ends that it has judged, and gave the server
  // more time.
  bool const IsJudged = isThroughPeer() && End == AnswerEnd::Marked;
  if (!IsJudged && mayHaveStoppedAtDeadline())
    return endAttempt(true, "the server may have stopped at the deadline");
  if (!isThroughPeer())
    Conventions_.onEnd(writer(), HeldBackData_.empty());
  if (!HeldBackData_.empty() && Conventions_.numbersLast(writer()))
    return endAttempt(true, "the server has spoiled its last event");
  if (End == AnswerEnd::Marked)
    return completeStream(End);
  if (!LastEventId_ && !HasBegunStream_)
    return endAttempt(true, "the stream ended before its first event");
  if (IsEndUnconfirmed_ && !IsEndDoubtful_)
    return completeStream(AnswerEnd::Marked);
  if (confirmEnd())
    return;
  if (IsEndDoubtful_)
    return fail("the stream's servers end their answers too early");
  endUnconfirmed();
}

void ExchangeFlow::endUnconfirmed() {
  // If the client takes the stream up, that takes no retry from the budget.
  bool const IsLeftToClient =
      IsBudgetSpent_ && mayBeTakenUp() && !hasNothingToAdd();
  // The server's process lives on and has closed the connection in order, which
  // ends an answer without a length.
  if (!IsLeftToClient)
    return completeStream(AnswerEnd::Unmarked);
  IsEndDoubtful_ = true;
  fail("the end was not confirmed");
}

bool ExchangeFlow::mayBeTakenUp() const {
  return Context_.Route_->Repeatability_ == Repeatability::Resumable &&
         LastEventId_ && Origin_ &&
         Origin_->SoftwareVersion_ != UnidentifiedVersion;
}

bool ExchangeFlow::hasNothingToAdd() const {
  return LastEventId_ && LastEventId_ == Context_.Metadata_.LastEventId_;
}

bool ExchangeFlow::confirmEnd() {
  ++Runs_;
  IsBudgetSpent_ = false;
  if (!LastEventId_ || !mayRetry(true))
    return false;
  IsEndUnconfirmed_ = true;
  // Of a stream that the client takes up, there may be nothing left.
  if (!std::exchange(HasBegunStream_, true))
    Actions_.push_back(BeginStream{Answer_->Head_});
  State_ = State::Waiting;
  Actions_.push_back(RequestServer{Tried_, Origin_});
  return true;
}

void ExchangeFlow::completeStream(AnswerEnd End) {
  relayBytes(std::exchange(HeldBackData_, {}));
  countRun();
  State_ = State::Over;
  if (!HasBegunStream_)
    Actions_.push_back(BeginStream{Answer_->Head_});
  Actions_.push_back(FinishStream{End});
}

} // namespace laburnum
