// What a request asks of its servers, and what its attempts show of software
// versions.

#include "RequestSession.h"

#include <LibTraffic/ServerPriority.h>

#include <utility>

namespace laburnum {

std::int32_t RequestSession::rank() const {
  auto const *const Account =
      FlowContext_.Table_->accountByKey(FlowContext_.Metadata_.Key_);
  return Account && Account->Rank_ ? *Account->Rank_
                                   : FlowContext_.Route_->Rank_;
}

std::optional<std::uint32_t> RequestSession::priorityAtServer() const {
  if (!Plane_.Roster_.isWorkBound(Server_->Service_))
    return std::nullopt;
  return serverPriority(*FlowContext_.Table_, *FlowContext_.Route_, rank());
}

void RequestSession::beginWork() {
  Work_.reset();
  if (!Plane_.Roster_.isWorkBound(Server_->Service_))
    return;
  Work_ = workOf(FlowContext_.Metadata_);
  WorkProgress_ = EngineBacklog::Progress::Unread;
  if (!Work_)
    return;
  auto const Incarnation = incarnationOf(*Server_);
  auto &Backlog = Plane_.Roster_.backlog();
  Backlog.onSent(Incarnation, *Work_);
  UnreadTokens_ = Backlog.load(Incarnation, AttemptSentAt_).UnreadTokens_;
  Plane_.Dependencies_.Metrics_.AttemptsByWork_.add();
}

void RequestSession::onPromptRead() {
  if (!Work_ || WorkProgress_ == EngineBacklog::Progress::Read)
    return;
  WorkProgress_ = EngineBacklog::Progress::Read;
  Plane_.Roster_.backlog().onRead(incarnationOf(*Server_), *Work_);
  // A stream that goes on is read again, with what was generated.
  if (!FlowContext_.Metadata_.TakesUpStream_ && Flow_.attempts() == 1)
    Plane_.WorkMeter_.onFirstEvent(Server_->Service_, *Work_,
                                   readBootClock() - AttemptSentAt_);
}

void RequestSession::endWork() {
  if (auto const Work = std::exchange(Work_, std::nullopt))
    Plane_.Roster_.backlog().onEnded(incarnationOf(*Server_), *Work,
                                     WorkProgress_);
}

void RequestSession::chooseVersion(ServerQuery &Query) {
  auto &Shares = Plane_.VersionShares_;
  auto const Now = readBootClock();
  auto const Choice = Shares.choose(Query.Service_, Now);
  if (!Choice)
    return;
  if (Choice->Use_ == VersionShares::Choice::Use::Target) {
    auto OnlyTarget = Query;
    OnlyTarget.SoftwareVersion_ = Choice->Target_;
    // A second attempt goes to what has proved itself.
    if (Flow_.attempts() == 0 && Plane_.Roster_.hasUsable(OnlyTarget, Now)) {
      Query = std::move(OnlyTarget);
      return;
    }
    Shares.returnCredit(Query.Service_);
  }
  Query.AvoidedVersion_ = Choice->Target_;
}

VersionTally::Key RequestSession::tallyKey() const {
  return {Server_->Service_, Server_->SoftwareVersion_,
          FlowContext_.Route_->Name_};
}

void RequestSession::tallySent() {
  if (Plane_.Dependencies_.Settings_.FollowsRollouts_)
    Plane_.VersionTally_.onSent(tallyKey());
}

void RequestSession::tallyEnd(AttemptHealth Health) {
  using Result = VersionTally::Result;
  auto const Claim = Answer_ ? Answer_->Claim_ : AnswerClaim::NotRun;
  bool const IsBad = Health == AttemptHealth::Failed ||
                     Claim == AnswerClaim::Failed ||
                     Claim == AnswerClaim::Untrusted;
  auto const Ended = IsBad                             ? Result::Failed
                     : Claim == AnswerClaim::Succeeded ? Result::Answered
                                                       : Result::Neither;
  Plane_.VersionTally_.onEnded(tallyKey(), Ended,
                               AnswerBegunAt_ - AttemptSentAt_);
}

} // namespace laburnum
