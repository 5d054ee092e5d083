#pragma once

#include <LibPeer/AsioPeerTransport.h>

namespace laburnum::detail {

/// What the connections of one transport share. They outlive the transport by
/// their last handlers, which must then leave the receiver alone.
struct PeerTransportState {
  PeerTransportSettings Settings_;
  PeerReceiver Receiver_;
  PeerTransportCounters Counters_;
  bool IsStopped_ = false;
};

} // namespace laburnum::detail
