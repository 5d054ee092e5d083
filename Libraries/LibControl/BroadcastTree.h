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

/// Returns Self and the live members, each endpoint once. After a restart the
/// previous incarnation may still be listed beside, or instead of, the current
/// one with the same endpoint; messages reach the running process either way.
std::vector<EntryInstance> liveInstances(EntryInstance const &Self,
                                         std::vector<Member> const &Members);

/// Returns the peer endpoint as text. Used as the key of rendezvous orders,
/// which thereby do not change when an instance restarts.
std::string endpointKey(EntryInstance const &Instance);

/// Routes the messages of one origin to all other instances along trees. For
/// each data centre and origin the instances form a binary heap in rendezvous
/// order; the origin sends to the root in every data centre. Origins are placed
/// last, as leaves, in each other's trees because they already send the most.
/// Positions depend on endpoints, so trees also work through instances of which
/// only a previous incarnation is known.
class BroadcastTree {
public:
  explicit BroadcastTree(EntryInstance Self) : Self_(std::move(Self)) {}

  /// Live is a result of liveInstances(); Origins are the endpoints of the
  /// instances that broadcast.
  void setMembers(std::vector<EntryInstance> Live, std::set<Endpoint> Origins);
  /// Receivers of this instance's own messages.
  std::vector<Endpoint> const &rootChildren();
  /// Records the origin's message with that number and returns the receivers to
  /// forward it to; one of them may be the origin itself. Returns std::nullopt
  /// for a duplicate or a message older than the last one.
  std::optional<std::vector<Endpoint>>
  receive(InstanceId const &Origin, std::uint64_t Number, TimePoint Now);

private:
  struct LastMessage {
    std::uint64_t Number_ = 0; ///< The highest number received so far.
    TimePoint ReceivedAt_;
  };

  std::vector<Endpoint> const &childrenOf(InstanceId const &Origin);
  std::vector<EntryInstance> treeOf(InstanceId const &Origin,
                                    DataCentre const &Centre) const;
  std::vector<Endpoint> findChildren(InstanceId const &Origin) const;
  std::vector<Endpoint> findRootChildren() const;

  EntryInstance Self_;
  std::vector<EntryInstance> Live_;
  std::set<Endpoint> Origins_;
  std::map<InstanceId, LastMessage> LastMessages_; ///< By origin.
  /// Cache by origin; cleared when the members change.
  std::map<InstanceId, std::vector<Endpoint>> Children_;
  /// Cache for this instance's own messages.
  std::optional<std::vector<Endpoint>> RootChildren_;
};

} // namespace laburnum
