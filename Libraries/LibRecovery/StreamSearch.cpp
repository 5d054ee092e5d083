#include <LibRecovery/StreamSearch.h>

namespace laburnum::streams {

using MaybeVerdict = std::optional<StreamSearch::Verdict>;

void StreamSearch::ask(EntryInstance const &Whom, StreamQueryMode How,
                       TimePoint Now, Actions &Out) {
  if (Whom.Id_ == Settings_.Self_.Id_)
    return;
  Asked_.insert_or_assign(Whom.Id_, Whom);
  Waiting_.insert(Whom.Id_);
  StepEnds_ = Now + Settings_.SearchTimeout_;
  StreamQuery const Query{Wanted_.Name_, Wanted_.Content_.Fingerprint_,
                          Settings_.Self_, Wanted_.Ticket_, How};
  Out.push_back(SendToPeer{Whom.Peers_, Query});
}

void StreamSearch::learn(Holder Told) {
  bool const IsBetter =
      !Best_ || Told.Epoch_.supersedes(Best_->Epoch_) ||
      (Told.Epoch_.isSame(Best_->Epoch_) && Told.Count_ > Best_->Count_);
  if (IsBetter)
    Best_ = std::move(Told);
}

/// Asks whoever is said to own the stream.
void StreamSearch::follow(EntryInstance const &Owner,
                          StreamPlaces const &Places, TimePoint Now,
                          Actions &Out) {
  if (Owner.Id_ == Settings_.Self_.Id_ || !Places.mayAnswer(Owner.Id_))
    return;
  if (!Asked_.contains(Owner.Id_))
    return ask(Owner, StreamQueryMode::Find, Now, Out);
  if (!Waiting_.contains(Owner.Id_))
    AskAgain_.insert_or_assign(Owner.Id_, Owner);
}

MaybeVerdict StreamSearch::start(StreamPlaces const &Places,
                                 Checkpoint const *Own,
                                 std::optional<EntryInstance> const &Owner,
                                 TimePoint Now, Actions &Out) {
  for (auto const &One : Places.candidates(Wanted_.Name_))
    ask(One, StreamQueryMode::Find, Now, Out);
  if (Own) {
    learn({Settings_.Self_, Own->Stream_.Epoch_, Own->Stream_.count()});
    follow(Own->Owner_, Places, Now, Out);
  }
  if (Owner)
    follow(*Owner, Places, Now, Out);
  return decideIfDone(Places, Now, Out);
}

MaybeVerdict StreamSearch::answered(InstanceId const &From,
                                    StreamState const &Told,
                                    StreamPlaces const &Places, TimePoint Now,
                                    Actions &Out) {
  auto const Asked = Asked_.find(From);
  if (Asked == Asked_.end())
    return std::nullopt;
  Waiting_.erase(From);
  if (Told.Knowledge_ == StreamKnowledge::Held)
    learn({Asked->second, Epoch::from(Told.Epoch_, Now), Told.Count_});
  if (Told.Knowledge_ == StreamKnowledge::Held ||
      Told.Knowledge_ == StreamKnowledge::Moved)
    follow(Told.Owner_, Places, Now, Out);
  return decideIfDone(Places, Now, Out);
}

MaybeVerdict StreamSearch::passTime(StreamPlaces const &Places, TimePoint Now,
                                    Actions &Out) {
  if (Now >= StepEnds_)
    return decide(Places, Now, Out);
  auto const Again = std::move(AskAgain_);
  AskAgain_.clear();
  auto const Ends = StepEnds_;
  for (auto const &[Id, Owner] : Again)
    ask(Owner, StreamQueryMode::Find, Now, Out);
  StepEnds_ = Ends; // Asking the same again does not lengthen the search.
  return std::nullopt;
}

MaybeVerdict StreamSearch::decideIfDone(StreamPlaces const &Places,
                                        TimePoint Now, Actions &Out) {
  if (!Waiting_.empty() || !AskAgain_.empty())
    return std::nullopt;
  return decide(Places, Now, Out);
}

MaybeVerdict StreamSearch::adopt(TimePoint Now, Actions &Out) {
  if (Best_->Count_ < Wanted_.From_)
    return IsSomeoneSilent_ ? Verdict(NoAnswer{}) : Verdict(TokensLost{});
  Step_ = Step::Adopting;
  if (Best_->Instance_.Id_ == Settings_.Self_.Id_)
    return TakeOwnCheckpoint{};
  ask(Best_->Instance_, StreamQueryMode::Adopt, Now, Out);
  return std::nullopt;
}

MaybeVerdict StreamSearch::decide(StreamPlaces const &Places, TimePoint Now,
                                  Actions &Out) {
  for (auto const &Id : Waiting_)
    IsSomeoneSilent_ = IsSomeoneSilent_ || Places.mayAnswer(Id);
  Waiting_.clear();
  AskAgain_.clear();
  if (Best_ && Step_ != Step::Adopting)
    return adopt(Now, Out);
  // A caller that has no token yet loses nothing by a new run.
  if (Wanted_.From_ == 0)
    return NotFound{};
  if (Step_ == Step::Finding) {
    Step_ = Step::Widened;
    for (auto const &One : Places.others(Wanted_.Name_)) {
      if (!Asked_.contains(One.Id_) && Asked_.size() < Settings_.MostAsked_)
        ask(One, StreamQueryMode::Find, Now, Out);
    }
    if (!Waiting_.empty())
      return std::nullopt;
  }
  return IsSomeoneSilent_ ? Verdict(NoAnswer{}) : Verdict(NotFound{});
}

} // namespace laburnum::streams
