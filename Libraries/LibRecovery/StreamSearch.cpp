#include <LibRecovery/StreamSearch.h>

namespace laburnum::streams {

using MaybeOutcome = std::optional<StreamSearch::Outcome>;

void StreamSearch::sendQuery(EntryInstance const &Peer, StreamQueryMode How,
                             TimePoint Now, Actions &Out) {
  if (Peer.Id_ == Settings_.Self_.Id_)
    return;
  Asked_.insert_or_assign(Peer.Id_, Peer);
  Waiting_.insert(Peer.Id_);
  StepEnds_ = Now + Settings_.SearchTimeout_;
  StreamQuery const Query{Request_.Name_, Request_.Content_.Fingerprint_,
                          Settings_.Self_, Request_.Ticket_, How};
  Out.push_back(SendToPeer{Peer.Peers_, Query});
}

void StreamSearch::considerCheckpoint(HeldCheckpoint State) {
  bool const IsBetter =
      !Best_ || State.Epoch_.supersedes(Best_->Epoch_) ||
      (State.Epoch_.isSame(Best_->Epoch_) && State.Count_ > Best_->Count_);
  if (IsBetter)
    Best_ = std::move(State);
}

/// Queries the presumed owner of the stream.
void StreamSearch::queryOwner(EntryInstance const &Owner,
                              CheckpointPlacement const &Placement,
                              TimePoint Now, Actions &Out) {
  if (Owner.Id_ == Settings_.Self_.Id_ || !Placement.mayAnswer(Owner.Id_))
    return;
  if (!Asked_.contains(Owner.Id_))
    return sendQuery(Owner, StreamQueryMode::Find, Now, Out);
  if (!Waiting_.contains(Owner.Id_))
    QueryAgain_.insert_or_assign(Owner.Id_, Owner);
}

MaybeOutcome StreamSearch::start(CheckpointPlacement const &Placement,
                                 Checkpoint const *Local,
                                 std::optional<EntryInstance> const &Owner,
                                 TimePoint Now, Actions &Out) {
  for (auto const &Peer : Placement.candidates(Request_.Name_))
    sendQuery(Peer, StreamQueryMode::Find, Now, Out);
  if (Local) {
    considerCheckpoint(
        {Settings_.Self_, Local->Stream_.Epoch_, Local->Stream_.count()});
    queryOwner(Local->Owner_, Placement, Now, Out);
  }
  if (Owner)
    queryOwner(*Owner, Placement, Now, Out);
  return decideIfDone(Placement, Now, Out);
}

MaybeOutcome StreamSearch::onAnswer(InstanceId const &From,
                                    StreamState const &State,
                                    CheckpointPlacement const &Placement,
                                    TimePoint Now, Actions &Out) {
  auto const Asked = Asked_.find(From);
  if (Asked == Asked_.end())
    return std::nullopt;
  Waiting_.erase(From);
  if (State.Knowledge_ == StreamKnowledge::Held)
    considerCheckpoint(
        {Asked->second, Epoch::from(State.Epoch_, Now), State.Count_});
  if (State.Knowledge_ == StreamKnowledge::Held ||
      State.Knowledge_ == StreamKnowledge::Moved)
    queryOwner(State.Owner_, Placement, Now, Out);
  return decideIfDone(Placement, Now, Out);
}

MaybeOutcome StreamSearch::onTimePassed(CheckpointPlacement const &Placement,
                                        TimePoint Now, Actions &Out) {
  if (Now >= StepEnds_)
    return decide(Placement, Now, Out);
  auto const Again = std::move(QueryAgain_);
  QueryAgain_.clear();
  auto const Ends = StepEnds_;
  for (auto const &[Id, Owner] : Again)
    sendQuery(Owner, StreamQueryMode::Find, Now, Out);
  StepEnds_ = Ends; // Repeated queries do not extend the search.
  return std::nullopt;
}

MaybeOutcome StreamSearch::decideIfDone(CheckpointPlacement const &Placement,
                                        TimePoint Now, Actions &Out) {
  if (!Waiting_.empty() || !QueryAgain_.empty())
    return std::nullopt;
  return decide(Placement, Now, Out);
}

MaybeOutcome StreamSearch::adopt(TimePoint Now, Actions &Out) {
  if (Best_->Count_ < Request_.From_)
    return IsAnswerMissing_ ? Outcome(NoAnswer{}) : Outcome(TokensLost{});
  Step_ = Step::Adopting;
  if (Best_->Instance_.Id_ == Settings_.Self_.Id_)
    return UseLocalCheckpoint{};
  sendQuery(Best_->Instance_, StreamQueryMode::Adopt, Now, Out);
  return std::nullopt;
}

MaybeOutcome StreamSearch::decide(CheckpointPlacement const &Placement,
                                  TimePoint Now, Actions &Out) {
  for (auto const &Id : Waiting_)
    IsAnswerMissing_ = IsAnswerMissing_ || Placement.mayAnswer(Id);
  Waiting_.clear();
  QueryAgain_.clear();
  if (Best_ && Step_ != Step::Adopting)
    return adopt(Now, Out);
  // A caller without any token can be served by a new run.
  if (Request_.From_ == 0)
    return NotFound{};
  if (Step_ == Step::Finding) {
    Step_ = Step::Widened;
    for (auto const &Peer : Placement.others(Request_.Name_)) {
      if (!Asked_.contains(Peer.Id_) &&
          Asked_.size() < Settings_.MaxQueriedInstances_)
        sendQuery(Peer, StreamQueryMode::Find, Now, Out);
    }
    if (!Waiting_.empty())
      return std::nullopt;
  }
  return IsAnswerMissing_ ? Outcome(NoAnswer{}) : Outcome(NotFound{});
}

} // namespace laburnum::streams
