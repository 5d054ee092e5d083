#include <LibControl/BroadcastTree.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr std::size_t TreeDegree = 2;
/// Origins are dropped after being silent for this long.
constexpr std::chrono::seconds OriginRetention{60};

} // namespace

std::vector<EntryInstance> liveInstances(EntryInstance const &Self,
                                         std::vector<Member> const &Members) {
  std::vector<EntryInstance> Live = {Self};
  std::set<Endpoint> Seen = {Self.Peers_};
  for (auto const &Entry : Members)
    if (Entry.Liveness_ == Liveness::Live &&
        Seen.insert(Entry.Instance_.Peers_).second)
      Live.push_back(Entry.Instance_);
  return Live;
}

std::string endpointKey(EntryInstance const &Instance) {
  return Instance.Peers_.Host_ + ':' + std::to_string(Instance.Peers_.Port_);
}

void BroadcastTree::setMembers(std::vector<EntryInstance> Live,
                               std::set<Endpoint> Origins) {
  Live_ = std::move(Live);
  Origins_ = std::move(Origins);
  Children_.clear();
  RootChildren_.reset();
}

std::vector<Endpoint> const &BroadcastTree::rootChildren() {
  if (!RootChildren_)
    RootChildren_ = findRootChildren();
  return *RootChildren_;
}

std::optional<std::vector<Endpoint>>
BroadcastTree::receive(InstanceId const &Origin, std::uint64_t Number,
                       TimePoint Now) {
  std::erase_if(LastMessages_, [&](auto const &Entry) {
    return Entry.second.ReceivedAt_ + OriginRetention < Now;
  });
  auto &Last = LastMessages_[Origin];
  Last.ReceivedAt_ = Now;
  if (Number <= Last.Number_)
    return std::nullopt;
  Last.Number_ = Number;
  return childrenOf(Origin);
}

std::vector<Endpoint> const &
BroadcastTree::childrenOf(InstanceId const &Origin) {
  auto const Found = Children_.find(Origin);
  if (Found != Children_.end())
    return Found->second;
  return Children_.emplace(Origin, findChildren(Origin)).first->second;
}

std::vector<EntryInstance>
BroadcastTree::treeOf(InstanceId const &Origin,
                      DataCentre const &Centre) const {
  std::vector<EntryInstance> Members;
  for (auto const &Entry : Live_)
    if (Entry.DataCentre_ == Centre)
      Members.push_back(Entry);
  auto Tree = rendezvousOrder(Origin.text(), std::move(Members), endpointKey);
  std::stable_partition(Tree.begin(), Tree.end(), [&](auto const &Entry) {
    return !Origins_.contains(Entry.Peers_);
  });
  return Tree;
}

std::vector<Endpoint>
BroadcastTree::findChildren(InstanceId const &Origin) const {
  auto const Tree = treeOf(Origin, Self_.DataCentre_);
  auto const Self =
      std::find_if(Tree.begin(), Tree.end(), [&](EntryInstance const &Entry) {
        return Entry.Peers_ == Self_.Peers_;
      });
  std::vector<Endpoint> Children;
  auto const First =
      static_cast<std::size_t>(Self - Tree.begin()) * TreeDegree + 1;
  for (auto Next = First; Next < std::min(First + TreeDegree, Tree.size());
       ++Next)
    Children.push_back(Tree[Next].Peers_);
  return Children;
}

std::vector<Endpoint> BroadcastTree::findRootChildren() const {
  std::set<DataCentre> Centres;
  for (auto const &Entry : Live_)
    Centres.insert(Entry.DataCentre_);
  std::vector<Endpoint> RootChildren;
  for (auto const &Centre : Centres) {
    auto const First = treeOf(Self_.Id_, Centre).front().Peers_;
    if (First != Self_.Peers_) {
      RootChildren.push_back(First);
      continue;
    }
    auto const Children = findChildren(Self_.Id_);
    RootChildren.insert(RootChildren.end(), Children.begin(), Children.end());
  }
  return RootChildren;
}

} // namespace laburnum
