#pragma once

#include <LibModel/EntryInstance.h>

#include <map>
#include <set>
#include <vector>

namespace laburnum {

/// Along which ways one instance's news reach all others. Each data centre's
/// instances, in an order of the origin's own, read as a heap, are the tree;
/// the origin tells the first of every data centre. Origins, who have much to
/// tell, are each other's leaves.
class NewsTree {
public:
  explicit NewsTree(EntryInstance Self) : Self_(std::move(Self)) {}

  /// Live are all instances, this one included.
  void setMembers(std::vector<EntryInstance> Live,
                  std::set<InstanceId> Origins);
  /// Whom this instance tells of the origin's news.
  std::vector<Endpoint> const &childrenOf(InstanceId const &Origin);

private:
  std::vector<Endpoint> find(InstanceId const &Origin) const;

  EntryInstance Self_;
  std::vector<EntryInstance> Live_;
  std::set<InstanceId> Origins_;
  /// By origin, for the members as they are.
  std::map<InstanceId, std::vector<Endpoint>> Children_;
};

} // namespace laburnum
