#include <LibPeer/AsioPeerTransport.h>
#include <LibPeer/PeerCodec.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

struct Node {
  std::vector<std::pair<InstanceId, PeerMessage>> Received_;
  std::shared_ptr<AsioPeerTransport> Transport_;
};

PeerTransportSettings settings(std::string const &Name,
                               std::string const &Secret = "secret") {
  PeerTransportSettings Made;
  Made.Secret_ = Secret;
  Made.Self_.Id_ = InstanceId(Name);
  Made.Self_.Peers_ = {"127.0.0.1", 0};
  return Made;
}

std::unique_ptr<Node> node(asio::io_context &Context,
                           PeerTransportSettings const &Settings) {
  auto Made = std::make_unique<Node>();
  auto Created = AsioPeerTransport::create(
      Context, Settings,
      [Owner = Made.get()](InstanceId const &From, PeerMessage const &Message) {
        Owner->Received_.emplace_back(From, Message);
      });
  REQUIRE(!isError(Created));
  Made->Transport_ = valueOf(Created);
  return Made;
}

/// Runs handlers until IsMet returns true. There is no timeout: a condition
/// that is never met makes the test hang, so that the result does not depend on
/// the machine's speed.
template <typename Condition>
void runUntil(asio::io_context &Context, Condition const &IsMet) {
  while (!IsMet())
    Context.run_one();
}

PeerMessage message(std::uint64_t Sequence) {
  return Heartbeat{HeartbeatKind::Ping, Sequence, {}, {}};
}

} // namespace

TEST_CASE("Messages arrive in order with their sender's identifier") {
  asio::io_context Context;
  auto const Left = node(Context, settings("left"));
  auto const Right = node(Context, settings("right"));
  for (std::uint64_t Number = 0; Number < 20; ++Number)
    Left->Transport_->send(Right->Transport_->localEndpoint(), message(Number));
  runUntil(Context, [&] { return Right->Received_.size() == 20; });
  for (std::uint64_t Number = 0; Number < 20; ++Number) {
    CHECK(Right->Received_[Number].first == InstanceId("left"));
    CHECK(Right->Received_[Number].second == message(Number));
  }
  CHECK(Left->Transport_->counters().Dropped_ == 0);
}

TEST_CASE("A wrong secret is rejected and nothing is delivered") {
  asio::io_context Context;
  auto const Left = node(Context, settings("left", "guess"));
  auto const Right = node(Context, settings("right"));
  Left->Transport_->send(Right->Transport_->localEndpoint(), message(1));
  runUntil(Context,
           [&] { return Right->Transport_->counters().Rejected_ == 1; });
  CHECK(Right->Received_.empty());
}

TEST_CASE("A connection without Hello or with an oversize frame is closed") {
  asio::io_context Context;
  auto const Right = node(Context, settings("right"));
  std::vector<std::string> const Frames = {
      valueOf(encodePeerFrame(message(1))),
      std::string({0, 0, 0x20, 0}),
      std::string({0x7f, 0, 0, 0}),
  };
  std::uint64_t Rejected = 0;
  for (auto const &Frame : Frames) {
    REQUIRE(Frame.size() >= PeerHeaderSize);
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    Right->Transport_->localEndpoint().Port_});
    asio::write(Socket, asio::buffer(Frame));
    ++Rejected;
    runUntil(Context, [&] {
      return Right->Transport_->counters().Rejected_ == Rejected;
    });
  }
  CHECK(Right->Received_.empty());
}

TEST_CASE("Messages beyond the queue limit or to unreachable peers are dropped "
          "and counted") {
  asio::io_context Context;
  auto Settings = settings("left");
  Settings.QueueLimit_ = 2;
  auto const Left = node(Context, Settings);
  auto Right = node(Context, settings("right"));
  auto const Remote = Right->Transport_->localEndpoint();
  for (std::uint64_t Number = 0; Number < 5; ++Number)
    Left->Transport_->send(Remote, message(Number));
  CHECK(Left->Transport_->counters().Dropped_ == 3);
  runUntil(Context, [&] { return Right->Received_.size() == 2; });

  Left->Transport_->send({"127.0.0.1", 1}, message(9));
  runUntil(Context, [&] { return Left->Transport_->counters().Dropped_ == 4; });
  Left->Transport_->send({"not an address", 1}, message(9));
  CHECK(Left->Transport_->counters().Dropped_ == 5);
}

TEST_CASE("A peer restarted on the same port is reached again") {
  asio::io_context Context;
  auto Settings = settings("left");
  Settings.InitialBackoff_ = Duration(0);
  Settings.MaxBackoff_ = Duration(0);
  auto const Left = node(Context, Settings);
  auto Right = node(Context, settings("right"));
  auto const Remote = Right->Transport_->localEndpoint();
  Left->Transport_->send(Remote, message(1));
  runUntil(Context, [&] { return Right->Received_.size() == 1; });

  Right.reset();
  auto Restarted = settings("right again");
  Restarted.Self_.Peers_ = Remote;
  Right = node(Context, Restarted);
  std::uint64_t Sequence = 2;
  runUntil(Context, [&] {
    if (Right->Received_.empty())
      Left->Transport_->send(Remote, message(Sequence++));
    return !Right->Received_.empty();
  });
  CHECK(Right->Received_.front().first == InstanceId("left"));
}

TEST_CASE("An idle connection is closed and reopened on use") {
  asio::io_context Context;
  auto Settings = settings("left");
  Settings.IdleTimeout_ = std::chrono::milliseconds(1);
  auto const Left = node(Context, Settings);
  auto const Right = node(Context, settings("right"));
  auto const Remote = Right->Transport_->localEndpoint();
  for (std::size_t Number = 1; Number <= 3; ++Number) {
    Left->Transport_->send(Remote, message(Number));
    runUntil(Context, [&] { return Right->Received_.size() == Number; });
    auto const Bytes = Left->Transport_->counters().BytesSent_;
    CHECK(Bytes > 0);
  }
}
