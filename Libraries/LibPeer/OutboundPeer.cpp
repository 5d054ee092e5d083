#include <LibPeer/OutboundPeer.h>

#include <LibPeer/PeerCodec.h>

#include <asio/buffer.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace laburnum::detail {

namespace {

/// Maximum number of bytes queued for one peer.
constexpr std::size_t MaxQueuedBytes = std::size_t(16) << 20;
/// Timeout of a write; the connection is closed when it expires.
constexpr Duration WriteTimeout = std::chrono::seconds(10);

/// Lets listeners bind the port that the socket will have, and the system
/// choose it as late as it connects. Without that the socket works, too.
void shareLocalPort(asio::ip::tcp::socket &Socket) {
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::reuse_address(true), Ignored);
  int const IsOn = 1;
  setsockopt(Socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &IsOn,
             sizeof IsOn);
}

} // namespace

OutboundPeer::OutboundPeer(asio::io_context &Context, Endpoint Remote,
                           std::shared_ptr<PeerTransportState> State)
    : Remote_(std::move(Remote)), State_(std::move(State)), Socket_(Context),
      Deadline_(Context) {}

bool OutboundPeer::isFull(std::string const &Frame) const {
  return Queue_.size() >= State_->Settings_.QueueLimit_ ||
         QueuedBytes_ + Frame.size() > MaxQueuedBytes;
}

void OutboundPeer::send(std::string Frame) {
  bool const IsWaiting = Phase_ == Phase::Closed && readClock() < NotBefore_;
  if (IsWaiting || isFull(Frame)) {
    ++State_->Counters_.Dropped_;
    return;
  }
  QueuedBytes_ += Frame.size();
  Queue_.push_back(std::move(Frame));
  if (Phase_ == Phase::Closed)
    connect();
  else if (Phase_ == Phase::Open)
    write();
}

void OutboundPeer::whenWritten(std::function<void()> Done) {
  bool const HasHello = Phase_ == Phase::Open && !IsHelloSent_;
  auto const Frames = Queue_.size() - (HasHello ? 1 : 0);
  if (Frames == 0 || Waiting_.size() >= State_->Settings_.QueueLimit_)
    return Done();
  Waiting_.emplace_back(WrittenFrames_ + Frames, std::move(Done));
}

void OutboundPeer::connect() {
  asio::error_code Failure;
  auto const Address = asio::ip::make_address(Remote_.Host_, Failure);
  if (Failure)
    return fail();
  asio::ip::tcp::endpoint const Target(Address, Remote_.Port_);
  Phase_ = Phase::Connecting;
  armDeadline(State_->Settings_.ConnectTimeout_);
  bindTo(Target.protocol());
  Socket_.async_connect(Target,
                        [Self = shared_from_this(),
                         Generation = Generation_](asio::error_code Outcome) {
                          if (Generation != Self->Generation_)
                            return;
                          if (Outcome)
                            return Self->fail();
                          Self->onConnected();
                        });
}

void OutboundPeer::bindTo(asio::ip::tcp const &Protocol) {
  asio::error_code Failure;
  asio::ip::tcp::endpoint const Local(
      asio::ip::make_address(State_->Settings_.Self_.Peers_.Host_, Failure), 0);
  if (Failure || Local.protocol() != Protocol)
    return;
  Socket_.open(Protocol, Failure);
  if (Failure)
    return;
  shareLocalPort(Socket_);
  // Without it the system chooses the address.
  Socket_.bind(Local, Failure);
}

void OutboundPeer::onConnected() {
  asio::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Phase_ = Phase::Open;
  auto Frame = helloFrame();
  QueuedBytes_ += Frame.size();
  Queue_.push_front(std::move(Frame));
  watchForClose();
  write();
}

std::string OutboundPeer::helloFrame() const {
  auto Frame = encodePeerFrame(
      Hello{State_->Settings_.Secret_, State_->Settings_.Self_});
  return isError(Frame) ? std::string() : takeValue(std::move(Frame));
}

void OutboundPeer::write() {
  if (IsWriting_ || Queue_.empty())
    return;
  IsWriting_ = true;
  armDeadline(WriteTimeout);
  writeFrom(0);
}

/// Not async_write, which would go on after a part of the frame without asking
/// whether the connection is still the same.
void OutboundPeer::writeFrom(std::size_t Begin) {
  auto const Rest = asio::buffer(Queue_.front()) + Begin;
  Socket_.async_write_some(
      Rest, [Self = shared_from_this(), Generation = Generation_,
             Begin](asio::error_code Outcome, std::size_t Bytes) {
        if (Generation != Self->Generation_)
          return;
        if (Outcome)
          return Self->fail();
        auto const End = Begin + Bytes;
        if (End < Self->Queue_.front().size())
          return Self->writeFrom(End);
        Self->onWritten();
      });
}

void OutboundPeer::onWritten() {
  auto const Bytes = Queue_.front().size();
  IsWriting_ = false;
  if (IsHelloSent_) {
    ++State_->Counters_.Sent_;
    ++WrittenFrames_;
  }
  IsHelloSent_ = true;
  State_->Counters_.BytesSent_ += Bytes;
  QueuedBytes_ -= Bytes;
  Queue_.pop_front();
  armDeadline(State_->Settings_.IdleTimeout_);
  while (!Waiting_.empty() && Waiting_.front().first <= WrittenFrames_) {
    auto const Done = std::move(Waiting_.front().second);
    Waiting_.pop_front();
    Done();
  }
  write();
}

/// Detects that the peer closed the connection: it never sends data here, so a
/// completed read means that it was closed. Without this the next message would
/// be lost.
void OutboundPeer::watchForClose() {
  Socket_.async_read_some(asio::buffer(Unexpected_),
                          [Self = shared_from_this(), Generation = Generation_](
                              asio::error_code, std::size_t) {
                            if (Generation == Self->Generation_)
                              Self->fail();
                          });
}

/// Drops the queued messages, which are outdated by the time the peer is
/// reachable again.
void OutboundPeer::fail() {
  bool const HasHello = Phase_ == Phase::Open && !IsHelloSent_;
  State_->Counters_.Dropped_ += Queue_.size() - (HasHello ? 1 : 0);
  shut();
  auto const &Settings = State_->Settings_;
  Backoff_ =
      std::clamp(Backoff_ * 2, Settings.InitialBackoff_, Settings.MaxBackoff_);
  NotBefore_ = readClock() + Backoff_;
}

void OutboundPeer::shut() {
  ++Generation_;
  asio::error_code Ignored;
  Socket_.close(Ignored);
  Deadline_.cancel();
  Queue_.clear();
  QueuedBytes_ = 0;
  IsWriting_ = false;
  IsHelloSent_ = false;
  Phase_ = Phase::Closed;
  for (auto const &[Frames, Done] : std::exchange(Waiting_, {}))
    Done();
}

void OutboundPeer::close() { shut(); }

bool OutboundPeer::isForgettable() const {
  return Phase_ == Phase::Closed && readClock() >= NotBefore_;
}

void OutboundPeer::armDeadline(Duration Span) {
  Deadline_.expires_after(Span);
  Deadline_.async_wait([Self = shared_from_this(),
                        Generation = Generation_](asio::error_code Outcome) {
    if (!Outcome && Generation == Self->Generation_)
      Self->onDeadline();
  });
}

void OutboundPeer::onDeadline() {
  if (Deadline_.expiry() > asio::steady_timer::clock_type::now())
    return;
  if (Phase_ == Phase::Open && Queue_.empty()) {
    Backoff_ = Duration(0);
    return shut();
  }
  fail();
}

} // namespace laburnum::detail
