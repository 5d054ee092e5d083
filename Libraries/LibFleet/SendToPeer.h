#pragma once

#include <LibPeer/PeerMessage.h>

namespace laburnum {

/// Send a message through the PeerTransport. An action that all decision cores
/// share.
struct SendToPeer {
  Endpoint To_;
  PeerMessage Message_;

  auto operator<=>(SendToPeer const &) const = default;
};

} // namespace laburnum
