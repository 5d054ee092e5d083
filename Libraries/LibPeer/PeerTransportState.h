#pragma once

#include <LibPeer/AsioPeerTransport.h>

namespace laburnum::detail {

/// State shared by the connections of one transport. Handlers of connections
/// may run after the transport is destroyed; they must not call the receiver
/// then.
struct PeerTransportState {
  PeerTransportSettings Settings_;
  PeerReceiver Receiver_;
  PeerTransportCounters Counters_;
  bool IsStopped_ = false;
};

} // namespace laburnum::detail
