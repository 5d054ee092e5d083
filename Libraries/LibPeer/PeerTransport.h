#pragma once

#include <LibModel/BackendServer.h>
#include <LibPeer/PeerMessage.h>

#include <cstdint>
#include <functional>

namespace laburnum {

/// Counters of a transport since its start, in messages and bytes.
struct PeerTransportCounters {
  std::uint64_t Sent_ = 0;
  std::uint64_t Received_ = 0;
  std::uint64_t Dropped_ = 0;  ///< Not sent: queue full or peer unreachable.
  std::uint64_t Rejected_ = 0; ///< Connections closed for invalid data.
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;

  auto operator<=>(PeerTransportCounters const &) const = default;
};

/// Called for each message received, with its sender.
using PeerReceiver =
    std::function<void(InstanceId const &From, PeerMessage const &Message)>;

/// Sends messages between entry instances. Messages may be lost; a sender that
/// needs delivery has to repeat them.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Queues the message and returns at once. A message that cannot be sent is
  /// dropped and counted.
  virtual void send(Endpoint const &To, PeerMessage const &Message) = 0;

  /// Calls Done, possibly at once, when everything that was sent to the
  /// endpoint before was passed to the kernel or dropped.
  virtual void whenWritten(Endpoint const &To, std::function<void()> Done) = 0;

  virtual PeerTransportCounters counters() const = 0;
};

} // namespace laburnum
