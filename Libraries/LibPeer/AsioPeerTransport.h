#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibPeer/PeerTransport.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace laburnum {

struct PeerTransportSettings {
  /// Shared by all entry instances; empty only if Introduced_ is set.
  std::string Secret_;
  EntryInstance Self_; ///< The transport listens on its Peers_ endpoint.
  Duration IdleTimeout_ = std::chrono::seconds(20);
  Duration ConnectTimeout_ = std::chrono::seconds(2);
  Duration InitialBackoff_ = std::chrono::milliseconds(100);
  Duration MaxBackoff_ = std::chrono::seconds(5);
  std::size_t QueueLimit_ = 256; ///< Messages queued per peer.
  /// If set, a transport without a secret sends nothing until a peer contacts
  /// it from the host that its Hello names. It takes that peer's secret and
  /// calls this function.
  std::function<void(Hello const &Greeting)> Introduced_;
};

/// Transport over TCP with length-prefixed msgpack messages. All work,
/// including calls of the receiver, runs on the io_context's single thread; the
/// transport has to be used and destroyed there, too. A connection carries
/// messages in one direction, from the side that opened it.
class AsioPeerTransport : public PeerTransport {
public:
  /// Listens on Settings.Self_.Peers_ (port 0: any free port). Errors:
  /// InvalidArgument for a bad address or an empty secret, PermissionDenied
  /// when this process may not bind the port, Unavailable when it cannot be
  /// bound now, for example as another socket holds it.
  static Result<std::shared_ptr<AsioPeerTransport>>
  create(asio::io_context &Context, PeerTransportSettings Settings,
         PeerReceiver Receiver);
  ~AsioPeerTransport() override;

  void send(Endpoint const &To, PeerMessage const &Message) override;
  void whenWritten(Endpoint const &To, std::function<void()> Done) override;
  PeerTransportCounters counters() const override;

  /// Replaces the secret. Connections that rely on another one are closed.
  void setSecret(std::string Secret);

  /// The endpoint it listens on, with the port chosen by the system.
  Endpoint localEndpoint() const;

private:
  class Implementation;
  explicit AsioPeerTransport(std::shared_ptr<Implementation> Owned);

  std::shared_ptr<Implementation> Implementation_;
};

} // namespace laburnum
