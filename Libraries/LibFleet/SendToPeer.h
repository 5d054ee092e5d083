#pragma once

#include <LibPeer/PeerMessage.h>

namespace laburnum {

/// The action of handing a message to the PeerTransport, shared by all cores.
struct SendToPeer {
  Endpoint To_;
  PeerMessage Message_;

  auto operator<=>(SendToPeer const &) const = default;
};

} // namespace laburnum
