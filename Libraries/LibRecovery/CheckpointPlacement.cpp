#include <LibRecovery/CheckpointPlacement.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace laburnum::streams {

namespace {

std::string keyOf(StreamName const &Name) {
  return Name.Account_.text() + '\n' + Name.Key_.text();
}

std::vector<EntryInstance> inOrder(StreamName const &Name,
                                   std::vector<EntryInstance> Instances) {
  return rendezvousOrder(
      keyOf(Name), std::move(Instances),
      [](EntryInstance const &Peer) { return Peer.Id_.text(); });
}

} // namespace

void CheckpointPlacement::setMembers(std::vector<Member> const &Members) {
  Live_.clear();
  Leaving_.clear();
  for (auto const &Peer : Members) {
    if (Peer.Instance_.Id_ == Self_.Id_)
      continue;
    if (Peer.Liveness_ == Liveness::Live)
      Live_.push_back(Peer.Instance_);
    if (Peer.Liveness_ == Liveness::Leaving)
      Leaving_.insert(Peer.Instance_.Id_);
  }
}

std::vector<EntryInstance>
CheckpointPlacement::others(StreamName const &Name) const {
  return inOrder(Name, Live_);
}

std::optional<EntryInstance> CheckpointPlacement::checkpointHolderOf(
    StreamName const &Name, std::set<InstanceId> const &Excluded) const {
  std::optional<EntryInstance> Near;
  for (auto const &Peer : others(Name)) {
    if (Excluded.contains(Peer.Id_))
      continue;
    if (Peer.DataCentre_ != Self_.DataCentre_)
      return Peer;
    if (!Near)
      Near = Peer;
  }
  return Near;
}

std::vector<EntryInstance>
CheckpointPlacement::candidates(StreamName const &Name) const {
  constexpr std::size_t CandidateCount = 3;
  auto All = Live_;
  All.push_back(Self_);
  auto const Order = inOrder(Name, std::move(All));
  std::vector<EntryInstance> Chosen;
  auto const Choose = [&](EntryInstance const &Peer) {
    if (Chosen.size() < CandidateCount &&
        std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end())
      Chosen.push_back(Peer);
  };
  Choose(Order.front());
  auto const Other =
      std::find_if(Order.begin(), Order.end(), [&](EntryInstance const &Peer) {
        return Peer.DataCentre_ != Order.front().DataCentre_;
      });
  if (Other != Order.end())
    Choose(*Other);
  for (auto const &Peer : Order)
    Choose(Peer);
  std::erase(Chosen, Self_);
  return Chosen;
}

bool CheckpointPlacement::isLive(InstanceId const &Id) const {
  return std::any_of(Live_.begin(), Live_.end(),
                     [&](EntryInstance const &Peer) { return Peer.Id_ == Id; });
}

bool CheckpointPlacement::mayAnswer(InstanceId const &Id) const {
  return isLive(Id) || Leaving_.contains(Id);
}

} // namespace laburnum::streams
