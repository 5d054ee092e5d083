#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibPeer/PeerTransport.h>

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace laburnum {

struct PeerTransportSettings {
  std::string Secret_; ///< Shared by all entry instances; not empty.
  EntryInstance Self_; ///< Its Peers_ endpoint is listened on.
  Duration IdleTimeout_ = std::chrono::seconds(20);
  Duration ConnectTimeout_ = std::chrono::seconds(2);
  Duration FirstBackoff_ = std::chrono::milliseconds(100);
  Duration LongestBackoff_ = std::chrono::seconds(5);
  std::size_t QueueLimit_ = 256; ///< Messages waiting for one peer.
};

/// TCP with length-prefixed msgpack. All work, and the receiver's calls, run
/// on the io_context's one thread, which is also where it must be used and
/// destroyed. Connections carry messages one way, from the opener.
class AsioPeerTransport : public PeerTransport {
public:
  /// Listens on Settings.Self_.Peers_ (port 0: any free port). Errors:
  /// InvalidArgument for a bad address or an empty secret, Unavailable when
  /// the port cannot be bound.
  static Result<std::shared_ptr<AsioPeerTransport>>
  create(asio::io_context &Context, PeerTransportSettings Settings,
         PeerReceiver Receiver);
  ~AsioPeerTransport() override;

  void send(Endpoint const &To, PeerMessage const &Message) override;
  PeerTransportCounters counters() const override;

  /// The endpoint listened on, with the port that the system chose.
  Endpoint localEndpoint() const;

private:
  class Implementation;
  explicit AsioPeerTransport(std::shared_ptr<Implementation> Owned);

  std::shared_ptr<Implementation> Implementation_;
};

} // namespace laburnum
