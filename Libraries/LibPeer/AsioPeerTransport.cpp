#include <LibPeer/AsioPeerTransport.h>

#include <LibPeer/InboundPeer.h>
#include <LibPeer/OutboundPeer.h>
#include <LibPeer/PeerCodec.h>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace laburnum {

namespace {

using Tcp = asio::ip::tcp;

/// Maximum number of inbound connections, well above the instances of a fleet.
constexpr std::size_t MaxInboundConnections = 2048;
/// Pause after a failed accept, for example when file descriptors ran out.
constexpr std::chrono::milliseconds AcceptRetryPause{50};

Error cannotListen(Endpoint const &Local, asio::error_code Failure) {
  return {Failure == asio::error::access_denied ? ErrorKind::PermissionDenied
                                                : ErrorKind::Unavailable,
          "cannot listen for peers on " + Local.Host_ + ":" +
              std::to_string(Local.Port_) + ": " + Failure.message(),
          "free the port or configure another"};
}

} // namespace

/// Owns the acceptor and all connections.
class AsioPeerTransport::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(asio::io_context &Context, PeerTransportSettings Settings,
                 PeerReceiver Receiver)
      : Context_(Context), Acceptor_(Context), RetryTimer_(Context),
        State_(std::make_shared<detail::PeerTransportState>()) {
    State_->Settings_ = std::move(Settings);
    State_->Receiver_ = std::move(Receiver);
  }

  Result<Success> listen();
  void accept();
  void send(Endpoint const &To, PeerMessage const &Message);
  void whenWritten(Endpoint const &To, std::function<void()> Done);
  void setSecret(std::string Secret);
  void stop();

  PeerTransportCounters const &counters() const { return State_->Counters_; }
  Endpoint const &local() const { return State_->Settings_.Self_.Peers_; }

private:
  void retryLater();
  void onAccepted(Tcp::socket Socket);
  void closeConnections();
  std::shared_ptr<detail::OutboundPeer> outbound(Endpoint const &To);

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  std::shared_ptr<detail::PeerTransportState> State_;
  std::vector<std::shared_ptr<detail::InboundPeer>> Inbound_;
  std::map<Endpoint, std::shared_ptr<detail::OutboundPeer>> Outbound_;
};

Result<Success> AsioPeerTransport::Implementation::listen() {
  auto &Local = State_->Settings_.Self_.Peers_;
  asio::error_code Failure;
  auto const Address = asio::ip::make_address(Local.Host_, Failure);
  if (Failure)
    return Error{ErrorKind::InvalidArgument,
                 "\"" + Local.Host_ + "\" is not an IP address",
                 "configure the address that peers listen on"};
  Tcp::endpoint const ListenEndpoint(Address, Local.Port_);
  Acceptor_.open(ListenEndpoint.protocol(), Failure);
  if (!Failure)
    Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor_.bind(ListenEndpoint, Failure);
  if (!Failure)
    Acceptor_.listen(Tcp::acceptor::max_listen_connections, Failure);
  if (Failure)
    return cannotListen(Local, Failure);
  Local.Port_ = Acceptor_.local_endpoint(Failure).port();
  return Success{};
}

void AsioPeerTransport::Implementation::accept() {
  Acceptor_.async_accept([Self = shared_from_this()](asio::error_code Failure,
                                                     Tcp::socket Socket) {
    if (Self->State_->IsStopped_)
      return;
    if (Failure)
      return Self->retryLater();
    Self->onAccepted(std::move(Socket));
    Self->accept();
  });
}

void AsioPeerTransport::Implementation::retryLater() {
  RetryTimer_.expires_after(AcceptRetryPause);
  RetryTimer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure && !Self->State_->IsStopped_)
      Self->accept();
  });
}

void AsioPeerTransport::Implementation::onAccepted(Tcp::socket Socket) {
  std::erase_if(Inbound_, [](auto const &Entry) { return !Entry->isOpen(); });
  if (Inbound_.size() >= MaxInboundConnections) {
    ++State_->Counters_.Rejected_;
    return;
  }
  auto Peer = std::make_shared<detail::InboundPeer>(std::move(Socket), State_);
  Inbound_.push_back(Peer);
  Peer->start();
}

std::shared_ptr<detail::OutboundPeer>
AsioPeerTransport::Implementation::outbound(Endpoint const &To) {
  auto const Found = Outbound_.find(To);
  if (Found != Outbound_.end())
    return Found->second;
  std::erase_if(Outbound_, [](auto const &Entry) {
    return Entry.second->isForgettable();
  });
  auto Peer = std::make_shared<detail::OutboundPeer>(Context_, To, State_);
  return Outbound_.emplace(To, std::move(Peer)).first->second;
}

void AsioPeerTransport::Implementation::send(Endpoint const &To,
                                             PeerMessage const &Message) {
  auto Frame = encodePeerFrame(Message);
  if (isError(Frame) || State_->Settings_.Secret_.empty()) {
    ++State_->Counters_.Dropped_;
    return;
  }
  outbound(To)->send(takeValue(std::move(Frame)));
}

void AsioPeerTransport::Implementation::whenWritten(
    Endpoint const &To, std::function<void()> Done) {
  auto const Found = Outbound_.find(To);
  if (Found == Outbound_.end())
    return Done();
  Found->second->whenWritten(std::move(Done));
}

void AsioPeerTransport::Implementation::setSecret(std::string Secret) {
  if (State_->Settings_.Secret_ == Secret)
    return;
  State_->Settings_.Secret_ = std::move(Secret);
  closeConnections();
}

void AsioPeerTransport::Implementation::stop() {
  State_->IsStopped_ = true;
  asio::error_code Ignored;
  RetryTimer_.cancel();
  Acceptor_.close(Ignored);
  closeConnections();
}

void AsioPeerTransport::Implementation::closeConnections() {
  for (auto const &Peer : Inbound_)
    Peer->close();
  for (auto const &[Remote, Peer] : Outbound_)
    Peer->close();
}

Result<std::shared_ptr<AsioPeerTransport>>
AsioPeerTransport::create(asio::io_context &Context,
                          PeerTransportSettings Settings,
                          PeerReceiver Receiver) {
  if (Settings.Secret_.empty() && !Settings.Introduced_)
    return Error{ErrorKind::InvalidArgument, "the peers' secret is empty",
                 "configure the same secret on every entry instance"};
  auto Owned = std::make_shared<Implementation>(Context, std::move(Settings),
                                                std::move(Receiver));
  auto const Listening = Owned->listen();
  if (isError(Listening))
    return errorOf(Listening);
  Owned->accept();
  return std::shared_ptr<AsioPeerTransport>(
      new AsioPeerTransport(std::move(Owned)));
}

AsioPeerTransport::AsioPeerTransport(std::shared_ptr<Implementation> Owned)
    : Implementation_(std::move(Owned)) {}

AsioPeerTransport::~AsioPeerTransport() { Implementation_->stop(); }

void AsioPeerTransport::send(Endpoint const &To, PeerMessage const &Message) {
  Implementation_->send(To, Message);
}

void AsioPeerTransport::whenWritten(Endpoint const &To,
                                    std::function<void()> Done) {
  Implementation_->whenWritten(To, std::move(Done));
}

void AsioPeerTransport::setSecret(std::string Secret) {
  Implementation_->setSecret(std::move(Secret));
}

PeerTransportCounters AsioPeerTransport::counters() const {
  return Implementation_->counters();
}

Endpoint AsioPeerTransport::localEndpoint() const {
  return Implementation_->local();
}

} // namespace laburnum
