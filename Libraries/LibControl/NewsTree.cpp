#include <LibControl/NewsTree.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr std::size_t Degree = 2;

} // namespace

std::vector<EntryInstance> byEndpoint(std::vector<EntryInstance> Instances) {
  std::set<Endpoint> Seen;
  std::erase_if(Instances, [&](EntryInstance const &One) {
    return !Seen.insert(One.Peers_).second;
  });
  return Instances;
}

std::string placeName(EntryInstance const &Instance) {
  return Instance.Peers_.Host_ + ':' + std::to_string(Instance.Peers_.Port_);
}

void NewsTree::setMembers(std::vector<EntryInstance> Live,
                          std::set<Endpoint> Origins) {
  Live_ = byEndpoint(std::move(Live));
  Origins_ = std::move(Origins);
  Children_.clear();
  Starts_ = findStarts();
}

std::vector<Endpoint> const &NewsTree::starts() { return Starts_; }

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
