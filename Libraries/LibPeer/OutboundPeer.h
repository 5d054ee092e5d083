#pragma once

#include <LibPeer/PeerTransportState.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace laburnum::detail {

/// The connection to one peer: opened on the first message to send, closed when
/// idle. After a failure there is no new attempt until the backoff has elapsed.
class OutboundPeer : public std::enable_shared_from_this<OutboundPeer> {
public:
  OutboundPeer(asio::io_context &Context, Endpoint Remote,
               std::shared_ptr<PeerTransportState> State);

  void send(std::string Frame);
  /// See PeerTransport::whenWritten().
  void whenWritten(std::function<void()> Done);
  void close();
  /// Whether the object holds no state that is still needed.
  bool isForgettable() const;

private:
  enum class Phase { Closed, Connecting, Open };

  bool isFull(std::string const &Frame) const;
  void connect();
  /// Connects from the address that peers listen on, which the Hello names.
  void bindTo(asio::ip::tcp const &Protocol);
  void onConnected();
  void write();
  void writeFrom(std::size_t Begin);
  void onWritten();
  void watchForClose();
  void fail();
  void shut();
  void armDeadline(Duration Span);
  void onDeadline();
  std::string helloFrame() const;

  Endpoint Remote_;
  std::shared_ptr<PeerTransportState> State_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Deadline_;
  Phase Phase_ = Phase::Closed;
  std::deque<std::string> Queue_; ///< Frames; the first one is being written.
  std::size_t QueuedBytes_ = 0;
  bool IsWriting_ = false;
  bool IsHelloSent_ = false;        ///< The Hello was written.
  std::uint64_t WrittenFrames_ = 0; ///< Without Hellos.
  /// What is called once so many frames were written.
  std::deque<std::pair<std::uint64_t, std::function<void()>>> Waiting_;
  /// Identifies handlers of a previous connection, which are ignored.
  std::uint64_t Generation_ = 0;
  Duration Backoff_{};
  TimePoint NotBefore_{};
  std::array<char, 1> Unexpected_{};
};

} // namespace laburnum::detail
