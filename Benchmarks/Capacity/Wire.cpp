#include "Wire.h"

#include <LibPeer/AsioPeerTransport.h>

namespace laburnum::bench {

/// IPv4 (20), TCP (20) and its timestamp option (12), in bytes.
static constexpr std::size_t PacketHeader = 52;
/// A SYN carries 8 more bytes of options.
static constexpr std::size_t SynPacket = 60;
/// SYN, SYN-ACK and ACK to connect; two FIN and two ACK to close.
static constexpr std::size_t SetUpAndEnd = 2 * SynPacket + 5 * PacketHeader;
/// The Ethernet MTU of 1500 less the headers.
static constexpr std::size_t SegmentBytes = 1448;

/// Header bytes of the segments and of one acknowledgement per segment.
static std::size_t headersOf(std::size_t FrameBytes) {
  auto const Segments = (FrameBytes + SegmentBytes - 1) / SegmentBytes;
  return 2 * Segments * PacketHeader;
}

void Wire::send(std::uint32_t From, std::uint32_t To, std::size_t FrameBytes,
                TimePoint Now) {
  constexpr unsigned IndexBits = 32;
  auto const Pair = (std::uint64_t{From} << IndexBits) | To;
  auto const [Found, IsNew] = LastUses_.try_emplace(Pair, Now);
  auto const IdleTimeout = PeerTransportSettings().IdleTimeout_;
  if (IsNew || Now > Found->second + IdleTimeout) {
    ++Counters_.Connections_;
    Counters_.FrameBytes_ += HelloBytes_;
    Counters_.OverheadBytes_ += SetUpAndEnd + headersOf(HelloBytes_);
  }
  Found->second = Now;
  ++Counters_.Messages_;
  Counters_.FrameBytes_ += FrameBytes;
  Counters_.OverheadBytes_ += headersOf(FrameBytes);
}

} // namespace laburnum::bench
