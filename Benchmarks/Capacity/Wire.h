#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace laburnum::bench {

struct WireCounters {
  std::uint64_t Messages_ = 0;
  std::uint64_t Connections_ = 0;
  std::uint64_t FrameBytes_ = 0;    ///< Messages and Hello frames.
  std::uint64_t OverheadBytes_ = 0; ///< TCP/IP headers, connect and close.

  auto operator<=>(WireCounters const &) const = default;
};

/// Counts the bytes that peers send over TCP, modelled on AsioPeerTransport:
/// one connection per direction, opened with a Hello and closed when idle.
class Wire {
public:
  /// HelloBytes is the size of the frame that opens a connection.
  explicit Wire(std::size_t HelloBytes) : HelloBytes_(HelloBytes) {}

  void send(std::uint32_t From, std::uint32_t To, std::size_t FrameBytes,
            TimePoint Now);
  void reset() { Counters_ = {}; }
  WireCounters const &counters() const { return Counters_; }

private:
  std::size_t const HelloBytes_;
  std::unordered_map<std::uint64_t, TimePoint> LastUses_;
  WireCounters Counters_;
};

} // namespace laburnum::bench
