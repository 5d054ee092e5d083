#include <LibPeer/AsioPeerTransport.h>
#include <LibPeer/PeerCodec.h>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <array>

using namespace laburnum;

namespace {

/// Of the form that instances create.
constexpr char const *Secret = "0123456789abcdef0123456789abcdef";
constexpr char const *OtherSecret = "fedcba9876543210fedcba9876543210";

struct Node {
  std::vector<std::pair<InstanceId, PeerMessage>> Received_;
  std::shared_ptr<AsioPeerTransport> Transport_;
};

PeerTransportSettings settings(std::string const &Name,
                               std::string const &Known = Secret) {
  PeerTransportSettings Made;
  Made.Secret_ = Known;
  Made.Self_.Id_ = InstanceId(Name);
  Made.Self_.Peers_ = {"127.0.0.1", 0};
  return Made;
}

/// Sends the frame on a connection of its own.
asio::ip::tcp::socket sendRaw(asio::io_context &Context, Node const &To,
                              PeerMessage const &Message) {
  asio::ip::tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address("127.0.0.1"),
                  To.Transport_->localEndpoint().Port_});
  asio::write(Socket, asio::buffer(valueOf(encodePeerFrame(Message))));
  return Socket;
}

/// The settings of an instance that has no secret yet. Greetings are added to
/// By.
PeerTransportSettings introducible(std::string const &Name,
                                   std::vector<Hello> &By) {
  auto Made = settings(Name, "");
  Made.Introduced_ = [&By](Hello const &Greeting) { By.push_back(Greeting); };
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

/// While it exists, this process can open no more descriptors.
class NoMoreDescriptors {
public:
  NoMoreDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &Previous_) == 0);
    int const FirstFree = dup(STDERR_FILENO);
    REQUIRE(FirstFree >= 0);
    close(FirstFree);
    auto Reduced = Previous_;
    Reduced.rlim_cur = static_cast<rlim_t>(FirstFree);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &Reduced) == 0);
  }
  NoMoreDescriptors(NoMoreDescriptors const &) = delete;
  NoMoreDescriptors &operator=(NoMoreDescriptors const &) = delete;
  ~NoMoreDescriptors() { setrlimit(RLIMIT_NOFILE, &Previous_); }

private:
  rlimit Previous_{};
};

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

TEST_CASE("A sender learns that each message of a burst was written or "
          "dropped") {
  constexpr std::uint64_t Burst = 12;
  asio::io_context Context;
  auto const Left = node(Context, settings("left"));
  auto const Right = node(Context, settings("right"));
  auto const Remote = Right->Transport_->localEndpoint();
  bool const IsConnected = GENERATE(false, true);
  if (IsConnected) {
    Left->Transport_->send(Remote, message(0));
    runUntil(Context, [&] { return Left->Transport_->counters().Sent_ == 1; });
  }
  auto const Before = Left->Transport_->counters().Sent_;
  std::uint64_t Told = 0;
  for (std::uint64_t Number = 1; Number <= Burst; ++Number) {
    Left->Transport_->send(Remote, message(Number));
    Left->Transport_->whenWritten(Remote, [&, Number] {
      CHECK(Left->Transport_->counters().Sent_ == Before + Number);
      ++Told;
    });
  }
  CHECK(Told == 0);
  runUntil(Context, [&] { return Told == Burst; });

  Endpoint const Unreachable{"127.0.0.1", 1};
  Left->Transport_->send(Unreachable, message(0));
  Left->Transport_->whenWritten(Unreachable, [&] { ++Told; });
  runUntil(Context, [&] { return Told == Burst + 1; });
  CHECK(Left->Transport_->counters().Dropped_ == 1);
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

TEST_CASE("A transport without a secret that cannot be introduced is not "
          "created") {
  asio::io_context Context;
  auto const Created =
      AsioPeerTransport::create(Context, settings("left", ""), {});
  REQUIRE(isError(Created));
  CHECK(errorOf(Created).Kind_ == ErrorKind::InvalidArgument);
}

TEST_CASE("A transport without a secret sends nothing before it is introduced, "
          "and then communicates like others") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto const New = node(Context, introducible("new", By));
  auto PeerSettings = settings("peer");
  PeerSettings.Self_.Peers_.Host_ = "127.0.0.2";
  auto const Peer = node(Context, PeerSettings);
  auto const PeerEndpoint = Peer->Transport_->localEndpoint();
  New->Transport_->send(PeerEndpoint, message(1));
  CHECK(New->Transport_->counters().Dropped_ == 1);

  Peer->Transport_->send(New->Transport_->localEndpoint(), message(2));
  runUntil(Context, [&] { return New->Received_.size() == 1; });
  REQUIRE(By.size() == 1);
  CHECK(By.front().Secret_ == Secret);
  CHECK(By.front().Sender_.Peers_ == PeerEndpoint);
  New->Transport_->send(PeerEndpoint, message(3));
  runUntil(Context, [&] { return Peer->Received_.size() == 1; });
  CHECK(Peer->Received_.front().second == message(3));
}

TEST_CASE("A transport without a secret takes none from a Hello that names "
          "another host than it comes from, no sender or no secret") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto const New = node(Context, introducible("new", By));
  EntryInstance Sender;
  Sender.Id_ = InstanceId("peer");
  Sender.Peers_ = {"127.0.0.1", 7500};
  auto Elsewhere = Sender;
  Elsewhere.Peers_.Host_ = "127.0.0.2";
  auto Nowhere = Sender;
  Nowhere.Peers_.Host_ = "";
  auto Nameless = Sender;
  Nameless.Id_ = {};
  std::vector<Hello> const Greetings = {
      {Secret, Elsewhere}, {Secret, Nowhere}, {Secret, Nameless}, {"", Sender}};
  std::uint64_t Rejected = 0;
  for (auto const &Greeting : Greetings) {
    auto const Socket = sendRaw(Context, *New, Greeting);
    ++Rejected;
    runUntil(Context,
             [&] { return New->Transport_->counters().Rejected_ == Rejected; });
  }
  CHECK(By.empty());
  auto const Socket = sendRaw(Context, *New, Hello{Secret, Sender});
  runUntil(Context, [&] { return !By.empty(); });
}

// Guards against a peer's bytes that become the fleet's secret, or that end the
// process where it writes its secret to the store as JSON.
TEST_CASE("A transport without a secret takes none that no instance creates") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto const New = node(Context, introducible("new", By));
  EntryInstance Sender;
  Sender.Id_ = InstanceId("peer");
  Sender.Peers_ = {"127.0.0.1", 7500};
  std::string const Known = Secret;
  std::vector<std::string> const Texts = {"\xff",
                                          "secret",
                                          Known.substr(1),
                                          Known + '0',
                                          Known.substr(1) + 'A',
                                          Known.substr(1) + 'g',
                                          Known.substr(1) + '\xff',
                                          Known.substr(1) + '\n',
                                          Known.substr(1) +
                                              std::string(1, '\0')};
  std::uint64_t Rejected = 0;
  for (auto const &Text : Texts) {
    CAPTURE(Text);
    auto const Socket = sendRaw(Context, *New, Hello{Text, Sender});
    ++Rejected;
    runUntil(Context, [&] {
      return New->Transport_->counters().Rejected_ == Rejected || !By.empty();
    });
    REQUIRE(By.empty());
  }
  auto const Socket = sendRaw(Context, *New, Hello{Secret, Sender});
  runUntil(Context, [&] { return !By.empty(); });
}

TEST_CASE("After an introduction another secret is rejected") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto const New = node(Context, introducible("new", By));
  auto const First = node(Context, settings("first"));
  auto const Other = node(Context, settings("other", OtherSecret));
  First->Transport_->send(New->Transport_->localEndpoint(), message(1));
  runUntil(Context, [&] { return New->Received_.size() == 1; });
  Other->Transport_->send(New->Transport_->localEndpoint(), message(2));
  runUntil(Context, [&] { return New->Transport_->counters().Rejected_ == 1; });
  CHECK(New->Received_.size() == 1);
  CHECK(By.size() == 1);
}

TEST_CASE("Connections that rely on a replaced secret are closed") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto Settings = settings("other", OtherSecret);
  Settings.InitialBackoff_ = Duration(0);
  Settings.MaxBackoff_ = Duration(0);
  auto const New = node(Context, introducible("new", By));
  auto const Other = node(Context, Settings);
  auto const Remote = New->Transport_->localEndpoint();
  Other->Transport_->send(Remote, message(1));
  runUntil(Context, [&] { return New->Received_.size() == 1; });
  New->Transport_->setSecret(Secret);
  std::uint64_t Sequence = 2;
  runUntil(Context, [&] {
    Other->Transport_->send(Remote, message(Sequence++));
    return New->Transport_->counters().Rejected_ > 0;
  });
  CHECK(New->Received_.size() == 1);
  auto const Peer = node(Context, settings("peer"));
  Peer->Transport_->send(Remote, message(1));
  runUntil(Context, [&] { return New->Received_.size() == 2; });
  CHECK(New->Received_.back().first == InstanceId("peer"));
}

// Guards against a busy loop, in which handlers are ready without end.
TEST_CASE(
    "A connection that cannot be accepted is not tried again at once, and "
    "accepted when descriptors are free") {
  asio::io_context Context;
  std::vector<Hello> By;
  auto const New = node(Context, introducible("new", By));
  EntryInstance Sender;
  Sender.Id_ = InstanceId("peer");
  Sender.Peers_ = {"127.0.0.1", 7500};
  auto const Socket = sendRaw(Context, *New, Hello{Secret, Sender});
  {
    NoMoreDescriptors const Exhausted;
    constexpr std::size_t MaxHandlers = 1000;
    std::size_t Handlers = 0;
    while (Handlers < MaxHandlers && Context.poll_one() != 0)
      ++Handlers;
    CHECK(Handlers < MaxHandlers);
    CHECK(By.empty());
  }
  runUntil(Context, [&] { return !By.empty(); });
}

// Guards against an instance whose ports for requests are taken by connections
// of the system itself.
TEST_CASE(
    "A connection to a peer does not keep a listener from its local port") {
  asio::io_context Context;
  asio::ip::tcp::acceptor Peer(Context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  auto Settings = settings("left");
  // An address at which no other process has connections.
  Settings.Self_.Peers_.Host_ = "127.81.12.7";
  auto Left = node(Context, Settings);
  Left->Transport_->send({"127.0.0.1", Peer.local_endpoint().port()},
                         message(1));
  asio::ip::tcp::socket Accepted(Context);
  bool IsAccepted = false;
  Peer.async_accept(Accepted, [&](asio::error_code Failure) {
    CHECK_FALSE(Failure);
    IsAccepted = true;
  });
  runUntil(Context, [&] {
    return IsAccepted && Left->Transport_->counters().Sent_ == 1;
  });
  auto const Local = Accepted.remote_endpoint();
  SECTION("while it is open") {}
  SECTION("after this side has closed it") {
    Left.reset();
    asio::error_code Ended;
    std::array<char, 1024> Read{};
    while (!Ended)
      Accepted.read_some(asio::buffer(Read), Ended);
    CHECK(Ended == asio::error::eof);
    Accepted.close();
  }
  CHECK_NOTHROW(asio::ip::tcp::acceptor(Context, Local));
}

// Guards against a write of a closed connection that goes on on the next one,
// with memory that was freed.
TEST_CASE("A connection that follows one closed during a write begins with a "
          "Hello") {
  asio::io_context Context;
  asio::ip::tcp::acceptor Peer(Context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  Endpoint const Remote{"127.0.0.1", Peer.local_endpoint().port()};
  auto const Left = node(Context, settings("left"));
  // Larger than what one call of the system writes.
  ServerLeavingNotice Large;
  Large.Server_ = ServerId(std::string(100000, 'x'));
  Left->Transport_->send(Remote, Large);
  asio::ip::tcp::socket First(Context);
  Peer.async_accept(First, [](asio::error_code) {});
  runUntil(Context,
           [&] { return Left->Transport_->counters().BytesSent_ > 0; });
  Left->Transport_->setSecret("other");
  Left->Transport_->send(Remote, message(2));

  asio::ip::tcp::socket Second(Context);
  bool IsAccepted = false;
  Peer.async_accept(Second, [&](asio::error_code) { IsAccepted = true; });
  runUntil(Context, [&] { return IsAccepted; });
  auto const Read = [&](std::size_t Size) {
    std::string Bytes(Size, '\0');
    bool IsRead = false;
    asio::async_read(Second, asio::buffer(Bytes),
                     [&](asio::error_code, std::size_t) { IsRead = true; });
    runUntil(Context, [&] { return IsRead; });
    return Bytes;
  };
  auto const Size = decodePeerHeader(Read(PeerHeaderSize));
  REQUIRE_FALSE(isError(Size));
  auto const Begin = decodePeerBody(Read(valueOf(Size)));
  REQUIRE_FALSE(isError(Begin));
  auto const *const Greeting = std::get_if<Hello>(&valueOf(Begin));
  REQUIRE(Greeting);
  CHECK(Greeting->Secret_ == "other");
}
