#include <LibControl/NewsTree.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr std::size_t Degree = 2;
/// Origins that were silent for so long are forgotten.
constexpr std::chrono::seconds OriginRetention{60};

} // namespace

std::vector<EntryInstance> liveInstances(EntryInstance const &Self,
                                         std::vector<Member> const &Members) {
  std::vector<EntryInstance> Live = {Self};
  std::set<Endpoint> Seen = {Self.Peers_};
  for (auto const &One : Members)
    if (One.Liveness_ == Liveness::Live &&
        Seen.insert(One.Instance_.Peers_).second)
      Live.push_back(One.Instance_);
  return Live;
}

std::string placeName(EntryInstance const &Instance) {
  return Instance.Peers_.Host_ + ':' + std::to_string(Instance.Peers_.Port_);
}

void NewsTree::setMembers(std::vector<EntryInstance> Live,
                          std::set<Endpoint> Origins) {
  Live_ = std::move(Live);
  Origins_ = std::move(Origins);
  Children_.clear();
  Starts_.reset();
}

std::vector<Endpoint> const &NewsTree::starts() {
  if (!Starts_)
    Starts_ = findStarts();
  return *Starts_;
}

std::optional<std::vector<Endpoint>> NewsTree::receive(InstanceId const &Origin,
                                                       std::uint64_t Number,
                                                       TimePoint Now) {
  std::erase_if(Heard_, [&](auto const &One) {
    return One.second.At_ + OriginRetention < Now;
  });
  auto &Last = Heard_[Origin];
  Last.At_ = Now;
  if (Number <= Last.Number_)
    return std::nullopt;
  Last.Number_ = Number;
  return childrenOf(Origin);
}

std::vector<Endpoint> const &NewsTree::childrenOf(InstanceId const &Origin) {
  auto const Found = Children_.find(Origin);
  if (Found != Children_.end())
    return Found->second;
  return Children_.emplace(Origin, findChildren(Origin)).first->second;
}

std::vector<EntryInstance> NewsTree::treeOf(InstanceId const &Origin,
                                            DataCentre const &Centre) const {
  std::vector<EntryInstance> Members;
  for (auto const &One : Live_)
    if (One.DataCentre_ == Centre)
      Members.push_back(One);
  auto Tree = rendezvousOrder(Origin.text(), std::move(Members), placeName);
  std::stable_partition(Tree.begin(), Tree.end(), [&](auto const &One) {
    return !Origins_.contains(One.Peers_);
  });
  return Tree;
}

std::vector<Endpoint> NewsTree::findChildren(InstanceId const &Origin) const {
  auto const Tree = treeOf(Origin, Self_.DataCentre_);
  auto const Self =
      std::find_if(Tree.begin(), Tree.end(), [&](EntryInstance const &One) {
        return One.Peers_ == Self_.Peers_;
      });
  std::vector<Endpoint> Children;
  auto const First = static_cast<std::size_t>(Self - Tree.begin()) * Degree + 1;
  for (auto Next = First; Next < std::min(First + Degree, Tree.size()); ++Next)
    Children.push_back(Tree[Next].Peers_);
  return Children;
}

std::vector<Endpoint> NewsTree::findStarts() const {
  std::set<DataCentre> Centres;
  for (auto const &One : Live_)
    Centres.insert(One.DataCentre_);
  std::vector<Endpoint> Starts;
  for (auto const &Centre : Centres) {
    auto const First = treeOf(Self_.Id_, Centre).front().Peers_;
    if (First != Self_.Peers_) {
      Starts.push_back(First);
      continue;
    }
    auto const Own = findChildren(Self_.Id_);
    Starts.insert(Starts.end(), Own.begin(), Own.end());
  }
  return Starts;
}

} // namespace laburnum
