#include <LibRecovery/CheckpointStore.h>

#include <algorithm>
#include <numeric>

namespace laburnum::streams {

/// The first part of the next owner may extend the previous owner's checkpoint,
/// since it is the previous owner that sends that part with the hand-over.
bool CheckpointStore::continues(StreamCheckpoint const &Part,
                                Checkpoint const &Held, TimePoint Now) {
  auto const Received = Epoch::from(Part.Epoch_, Now);
  auto const &Kept = Held.Stream_.Epoch_;
  if (Kept.Run_ != Received.Run_ || Part.From_ > Held.Stream_.count())
    return false;
  return Received.isSame(Kept) || Held.Owner_.Id_ == Part.Owner_.Id_;
}

void CheckpointStore::keep(StreamName const &Name, Checkpoint Kept) {
  auto const *Held = find(Name);
  if (!Held || !Held->Stream_.Epoch_.supersedes(Kept.Stream_.Epoch_))
    Checkpoints_.insert_or_assign(Name, std::move(Kept));
}

CheckpointStore::StoreResult
CheckpointStore::store(StreamCheckpoint const &Part, TimePoint Now) {
  auto const Received = Epoch::from(Part.Epoch_, Now);
  auto *Held = find(Part.Name_);
  if (Held && Held->Stream_.Epoch_.supersedes(Received))
    return StoreResult::Superseded;
  if (Held && continues(Part, *Held, Now)) {
    if (!Held->Stream_.Epoch_.isSame(Received)) {
      Held->Stream_.Tokens_.resize(Part.From_);
      Held->Stream_.Epoch_ = Received;
    }
    Held->Stream_.append(Part.From_, Part.Tokens_);
  } else if (Part.From_ == 0) {
    Checkpoint New;
    New.Stream_ = {Received, Part.Content_, Now + Part.Content_.Remaining_,
                   Part.Tokens_, Part.Phase_};
    Held = &Checkpoints_.insert_or_assign(Part.Name_, std::move(New))
                .first->second;
  } else {
    return StoreResult::Incomplete;
  }
  Held->Owner_ = Part.Owner_;
  Held->Renewed_ = Now;
  // An older part that arrives late must not reset the phase of an ended
  // stream.
  if (Held->Stream_.count() <= Part.Total_)
    Held->Stream_.Phase_ = Part.Phase_;
  return StoreResult::Kept;
}

std::uint32_t CheckpointStore::count(StreamCheckpoint const &Part,
                                     TimePoint Now) const {
  auto const Found = Checkpoints_.find(Part.Name_);
  if (Found == Checkpoints_.end())
    return 0;
  auto const &Kept = Found->second.Stream_;
  return Kept.Epoch_.isSame(Epoch::from(Part.Epoch_, Now)) ? Kept.count() : 0;
}

Checkpoint *CheckpointStore::find(StreamName const &Name) {
  auto const Found = Checkpoints_.find(Name);
  return Found == Checkpoints_.end() ? nullptr : &Found->second;
}

std::size_t CheckpointStore::tokens() const {
  return std::accumulate(Checkpoints_.begin(), Checkpoints_.end(),
                         std::size_t(0), [](std::size_t Sum, auto const &One) {
                           return Sum + One.second.Stream_.Tokens_.size();
                         });
}

void CheckpointStore::expire(Duration Retention, std::size_t MaxTokens,
                             TimePoint Now) {
  std::erase_if(Checkpoints_, [&](auto const &One) {
    return One.second.Renewed_ + Retention <= Now;
  });
  for (auto Sum = tokens(); Sum > MaxTokens;) {
    auto const Oldest =
        std::min_element(Checkpoints_.begin(), Checkpoints_.end(),
                         [](auto const &Left, auto const &Right) {
                           return Left.second.Renewed_ < Right.second.Renewed_;
                         });
    Sum -= Oldest->second.Stream_.Tokens_.size();
    Checkpoints_.erase(Oldest);
  }
}

} // namespace laburnum::streams
