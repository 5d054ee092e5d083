#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibModel/EntryInstance.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Self and the live members, each endpoint once. After restarts an ended life
/// may still be known beside, or instead of, the one that has its endpoint now;
/// what is sent there reaches the one that runs.
std::vector<EntryInstance> liveInstances(EntryInstance const &Self,
                                         std::vector<Member> const &Members);

/// The endpoint as text, for an order that outlasts an instance's lives.
std::string placeName(EntryInstance const &Instance);

/// Along which ways one instance's news reach all others. Each data centre's
/// instances, in an order of the origin's own, read as a heap, are the tree;
/// the origin tells the first of every data centre. Origins, who have much to
/// tell, are each other's leaves. Places belong to endpoints, so that trees
/// also lead through instances of which only an ended life is known.
class NewsTree {
public:
  explicit NewsTree(EntryInstance Self) : Self_(std::move(Self)) {}

  /// Live are as liveInstances() has them; Origins are endpoints.
  void setMembers(std::vector<EntryInstance> Live, std::set<Endpoint> Origins);
  /// Whom this instance tells of its own news.
  std::vector<Endpoint> const &starts();
  /// Whom this instance passes the origin's news of that number on to; it may
  /// be the origin itself. Nothing when they are late or were heard already.
  std::optional<std::vector<Endpoint>>
  receive(InstanceId const &Origin, std::uint64_t Number, TimePoint Now);

private:
  struct Heard {
    std::uint64_t Number_ = 0; ///< The highest so far.
    TimePoint At_;
  };

  std::vector<Endpoint> const &childrenOf(InstanceId const &Origin);
  std::vector<EntryInstance> treeOf(InstanceId const &Origin,
                                    DataCentre const &Centre) const;
  std::vector<Endpoint> findChildren(InstanceId const &Origin) const;
  std::vector<Endpoint> findStarts() const;

  EntryInstance Self_;
  std::vector<EntryInstance> Live_;
  std::set<Endpoint> Origins_;
  std::map<InstanceId, Heard> Heard_; ///< By origin.
  /// By origin, for the members as they are.
  std::map<InstanceId, std::vector<Endpoint>> Children_;
  std::optional<std::vector<Endpoint>> Starts_; ///< The same, of its own news.
};

} // namespace laburnum
