#pragma once

#include <LibFleet/Member.h>
#include <LibPeer/PeerMessage.h>

#include <functional>
#include <vector>

namespace laburnum {

/// A part of the daemon that has messages of its own for its peers. Called on
/// the control thread.
class PeerService {
public:
  virtual ~PeerService() = default;

  /// Every message from a peer; those of other parts are to be ignored.
  virtual void receive(InstanceId const &From, PeerMessage const &Message) = 0;
  /// All entry instances known, this one included.
  virtual void setMembers(std::vector<Member> const &Members) = 0;
};

/// Sends a message to a peer, from any thread.
using PeerSend = std::function<void(Endpoint const &, PeerMessage const &)>;

} // namespace laburnum
