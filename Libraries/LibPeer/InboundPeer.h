#pragma once

#include <LibPeer/PeerCodec.h>
#include <LibPeer/PeerTransportState.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>

namespace laburnum::detail {

/// A connection opened by a peer: reads its Hello and then its messages.
class InboundPeer : public std::enable_shared_from_this<InboundPeer> {
public:
  InboundPeer(asio::ip::tcp::socket Socket,
              std::shared_ptr<PeerTransportState> State);

  void start();
  void close();
  bool isOpen() const { return Socket_.is_open(); }

private:
  void readHeader();
  void readBody(std::size_t Size);
  void onBody();
  void onHello(Hello const &Greeting);
  /// Whether the connection comes from the host that the Hello names.
  bool isFromNamedHost(Hello const &Greeting) const;
  void reject(std::string const &Reason);
  void closeAfter(Duration Span);

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Deadline_;
  std::shared_ptr<PeerTransportState> State_;
  std::array<char, PeerHeaderSize> Header_{};
  std::string Body_;
  InstanceId Sender_; ///< Empty until the Hello is accepted.
};

} // namespace laburnum::detail
