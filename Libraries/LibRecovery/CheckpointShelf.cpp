#include <LibRecovery/CheckpointShelf.h>

#include <algorithm>
#include <numeric>

namespace laburnum::streams {

/// The next owner's first part may build on its predecessor's tokens, as that
/// predecessor sends it.
bool CheckpointShelf::continues(StreamCheckpoint const &Part,
                                Checkpoint const &Held, TimePoint Now) {
  auto const Told = Epoch::from(Part.Epoch_, Now);
  auto const &Kept = Held.Stream_.Epoch_;
  if (Kept.Run_ != Told.Run_ || Part.From_ > Held.Stream_.count())
    return false;
  return Told.isSame(Kept) || Held.Owner_.Id_ == Part.Owner_.Id_;
}

void CheckpointShelf::keep(StreamName const &Name, Checkpoint Kept) {
  auto const *Held = find(Name);
  if (!Held || !Held->Stream_.Epoch_.supersedes(Kept.Stream_.Epoch_))
    Kept_.insert_or_assign(Name, std::move(Kept));
}

CheckpointShelf::Placed CheckpointShelf::place(StreamCheckpoint const &Part,
                                               TimePoint Now) {
  auto const Told = Epoch::from(Part.Epoch_, Now);
  auto *Held = find(Part.Name_);
  if (Held && Held->Stream_.Epoch_.supersedes(Told))
    return Placed::Superseded;
  if (Held && continues(Part, *Held, Now)) {
    if (!Held->Stream_.Epoch_.isSame(Told)) {
      Held->Stream_.Tokens_.resize(Part.From_);
      Held->Stream_.Epoch_ = Told;
    }
    Held->Stream_.append(Part.From_, Part.Tokens_);
  } else if (Part.From_ == 0) {
    Checkpoint New;
    New.Stream_ = {Told, Part.Content_, Now + Part.Content_.Remaining_,
                   Part.Tokens_, Part.Phase_};
    Held = &Kept_.insert_or_assign(Part.Name_, std::move(New)).first->second;
  } else {
    return Placed::Incomplete;
  }
  Held->Owner_ = Part.Owner_;
  Held->Renewed_ = Now;
  // A reordered older part must not undo the end.
  if (Held->Stream_.count() <= Part.Total_)
    Held->Stream_.Phase_ = Part.Phase_;
  return Placed::Kept;
}

std::uint32_t CheckpointShelf::count(StreamCheckpoint const &Part,
                                     TimePoint Now) const {
  auto const Found = Kept_.find(Part.Name_);
  if (Found == Kept_.end())
    return 0;
  auto const &Kept = Found->second.Stream_;
  return Kept.Epoch_.isSame(Epoch::from(Part.Epoch_, Now)) ? Kept.count() : 0;
}

Checkpoint *CheckpointShelf::find(StreamName const &Name) {
  auto const Found = Kept_.find(Name);
  return Found == Kept_.end() ? nullptr : &Found->second;
}

std::size_t CheckpointShelf::tokens() const {
  return std::accumulate(Kept_.begin(), Kept_.end(), std::size_t(0),
                         [](std::size_t Sum, auto const &One) {
                           return Sum + One.second.Stream_.Tokens_.size();
                         });
}

void CheckpointShelf::expire(Duration Retention, std::size_t MostTokens,
                             TimePoint Now) {
  std::erase_if(Kept_, [&](auto const &One) {
    return One.second.Renewed_ + Retention <= Now;
  });
  for (auto Sum = tokens(); Sum > MostTokens;) {
    auto const Oldest = std::min_element(
        Kept_.begin(), Kept_.end(), [](auto const &Left, auto const &Right) {
          return Left.second.Renewed_ < Right.second.Renewed_;
        });
    Sum -= Oldest->second.Stream_.Tokens_.size();
    Kept_.erase(Oldest);
  }
}

} // namespace laburnum::streams
