#include <LibPeer/InboundPeer.h>

#include <LibCore/IdentifierSource.h>

#include <asio/read.hpp>
#include <glog/logging.h>
#include <openssl/crypto.h>

#include <utility>

namespace laburnum::detail {

namespace {

/// Maximum size, in bytes, of a body from a peer that is not yet authenticated.
constexpr std::size_t MaxHelloSize = 4096;
/// The side that opened a connection closes it when idle. The receiver waits
/// longer by this factor, so that no message is sent on a connection that is
/// being closed.
constexpr int IdleFactor = 2;

bool equalSecrets(std::string const &Left, std::string const &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

InboundPeer::InboundPeer(asio::ip::tcp::socket Socket,
                         std::shared_ptr<PeerTransportState> State)
    : Socket_(std::move(Socket)), Deadline_(Socket_.get_executor()),
      State_(std::move(State)) {}

void InboundPeer::start() {
  closeAfter(State_->Settings_.ConnectTimeout_);
  readHeader();
}

void InboundPeer::close() {
  asio::error_code Ignored;
  Socket_.close(Ignored);
  Deadline_.cancel();
}

void InboundPeer::closeAfter(Duration Span) {
  Deadline_.expires_after(Span);
  Deadline_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure &&
        Self->Deadline_.expiry() <= asio::steady_timer::clock_type::now())
      Self->close();
  });
}

void InboundPeer::readHeader() {
  asio::async_read(
      Socket_, asio::buffer(Header_),
      [Self = shared_from_this()](asio::error_code Failure, std::size_t) {
        if (Failure || Self->State_->IsStopped_)
          return Self->close();
        auto const Size =
            decodePeerHeader({Self->Header_.data(), Self->Header_.size()});
        if (isError(Size))
          return Self->reject(errorOf(Size).Message_);
        Self->readBody(valueOf(Size));
      });
}

void InboundPeer::readBody(std::size_t Size) {
  if (Sender_.isEmpty() && Size > MaxHelloSize)
    return reject("the first message is too large for a Hello");
  Body_.resize(Size);
  asio::async_read(
      Socket_, asio::buffer(Body_),
      [Self = shared_from_this()](asio::error_code Failure, std::size_t) {
        if (Failure || Self->State_->IsStopped_)
          return Self->close();
        Self->State_->Counters_.BytesReceived_ +=
            PeerHeaderSize + Self->Body_.size();
        Self->onBody();
      });
}

void InboundPeer::onBody() {
  auto const Message = decodePeerBody(Body_);
  Body_ = {};
  if (isError(Message))
    return reject(errorOf(Message).Message_);
  auto const *Greeting = std::get_if<Hello>(&valueOf(Message));
  if ((Greeting != nullptr) != Sender_.isEmpty())
    return reject("a Hello must be the first message and occur only once");
  if (Greeting)
    return onHello(*Greeting);
  closeAfter(State_->Settings_.IdleTimeout_ * IdleFactor);
  ++State_->Counters_.Received_;
  State_->Receiver_(Sender_, valueOf(Message));
  if (Socket_.is_open())
    readHeader();
}

void InboundPeer::onHello(Hello const &Greeting) {
  auto &Settings = State_->Settings_;
  bool const IsIntroduction = Settings.Secret_.empty();
  if (Greeting.Secret_.empty() ||
      (!IsIntroduction && !equalSecrets(Greeting.Secret_, Settings.Secret_)))
    return reject("the shared secret is wrong");
  if (Greeting.Sender_.Id_.isEmpty())
    return reject("the sender has no identifier");
  // It becomes this instance's secret, which may have to go into the store.
  if (IsIntroduction && !isGeneratedIdentifier(Greeting.Secret_))
    return reject("the secret is not one that instances create");
  if (IsIntroduction && !isFromNamedHost(Greeting))
    return reject("the sender names another host than it connects from");
  Sender_ = Greeting.Sender_.Id_;
  closeAfter(Settings.IdleTimeout_ * IdleFactor);
  if (IsIntroduction) {
    Settings.Secret_ = Greeting.Secret_;
    Settings.Introduced_(Greeting);
  }
  if (!Socket_.is_open())
    return;
  readHeader();
}

bool InboundPeer::isFromNamedHost(Hello const &Greeting) const {
  asio::error_code Failure;
  auto const Remote = Socket_.remote_endpoint(Failure);
  if (Failure)
    return false;
  auto const Named =
      asio::ip::make_address(Greeting.Sender_.Peers_.Host_, Failure);
  return !Failure && Named == Remote.address();
}

void InboundPeer::reject(std::string const &Reason) {
  // Only the first rejection is logged; the counter covers the others.
  if (State_->Counters_.Rejected_++ == 0)
    LOG(WARNING) << "peer connection rejected: " << Reason;
  close();
}

} // namespace laburnum::detail
