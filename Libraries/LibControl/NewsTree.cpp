#include <LibControl/NewsTree.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr std::size_t Degree = 2;

} // namespace

void NewsTree::setMembers(std::vector<EntryInstance> Live,
                          std::set<InstanceId> Origins) {
  Live_ = std::move(Live);
  Origins_ = std::move(Origins);
  Children_.clear();
}

std::vector<Endpoint> const &NewsTree::childrenOf(InstanceId const &Origin) {
  auto const Found = Children_.find(Origin);
  if (Found != Children_.end())
    return Found->second;
  return Children_.emplace(Origin, find(Origin)).first->second;
}

std::vector<Endpoint> NewsTree::find(InstanceId const &Origin) const {
  std::map<DataCentre, std::vector<EntryInstance>> Centres;
  for (auto const &One : Live_)
    if (One.Id_ != Origin)
      Centres[One.DataCentre_].push_back(One);
  auto const TreeOf = [&](std::vector<EntryInstance> Members) {
    auto Tree = rendezvousOrder(
        Origin.text(), std::move(Members), [
        ](EntryInstance const &One) -> auto const & { return One.Id_.text(); });
    std::stable_partition(
        Tree.begin(), Tree.end(),
        [&](EntryInstance const &One) { return !Origins_.contains(One.Id_); });
    return Tree;
  };
  std::vector<Endpoint> Children;
  if (Origin == Self_.Id_) {
    for (auto &[Centre, Members] : Centres)
      Children.push_back(TreeOf(std::move(Members)).front().Peers_);
    return Children;
  }
  auto const Own = TreeOf(std::move(Centres[Self_.DataCentre_]));
  auto const Self = std::find(Own.begin(), Own.end(), Self_);
  auto const First = static_cast<std::size_t>(Self - Own.begin()) * Degree + 1;
  for (auto Next = First; Next < std::min(First + Degree, Own.size()); ++Next)
    Children.push_back(Own[Next].Peers_);
  return Children;
}

} // namespace laburnum
