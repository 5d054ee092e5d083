#include "Loopback.h"

#include <LibHttp/HttpListener.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using test::RawPeer;
using test::runUntil;

namespace {

constexpr char const *Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct DisconnectFlag : ClientObserver {
  void onClientLeft() override { HasLeft_ = true; }
  bool HasLeft_ = false;
};

/// Holds each request until the test answers it.
struct ManualService : HttpService {
  ClientBounds bounds() const override { return Bounds_; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    Exchange->observe(Disconnect_);
    Exchanges_.push_back(std::move(Exchange));
    Requests_.push_back(std::move(Request));
  }
  void onRejected(MessageFault Fault) override { Fault_ = Fault; }
  void onGivenUp() override { ++GivenUp_; }

  ClientBounds Bounds_;
  MessageFault Fault_ = MessageFault::None;
  std::size_t GivenUp_ = 0;
  std::shared_ptr<DisconnectFlag> Disconnect_ =
      std::make_shared<DisconnectFlag>();
  std::vector<std::shared_ptr<Exchange>> Exchanges_;
  std::vector<ReceivedRequest> Requests_;
};

struct Fixture {
  bool wait(std::function<bool()> const &Done) {
    return runUntil(Context_, Done);
  }

  asio::io_context Context_;
  ManualService Service_;
  std::shared_ptr<HttpListener> Listener_ = std::get<0>(
      HttpListener::create(Context_, Endpoint{"127.0.0.1", 0}, Service_));
  RawPeer Client_{Context_, Listener_->localEndpoint()};
};

} // namespace

TEST_CASE_METHOD(Fixture, "A connection serves requests in sequence") {
  for (std::size_t Turn = 1; Turn <= 2; ++Turn) {
    Client_.write(Get);
    REQUIRE(wait([&] { return Service_.Requests_.size() == Turn; }));
    Service_.Exchanges_.back()->answer({200, {}}, "ok" + std::to_string(Turn));
    REQUIRE(wait([&] {
      return Client_.Received_.ends_with("ok" + std::to_string(Turn));
    }));
  }
  CHECK_FALSE(Client_.IsClosed_);
}

TEST_CASE_METHOD(Fixture, "A pipelined request is not served") {
  Client_.write(std::string(Get) +
                "POST /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(wait([&] { return !Service_.Requests_.empty(); }));
  Service_.Exchanges_.front()->answer({200, {}}, "ok");
  REQUIRE(wait([&] { return Client_.IsClosed_; }));
  CHECK(Service_.Requests_.size() == 1);
  CHECK(Client_.Received_.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "A client that disconnects while waiting is noticed") {
  Client_.write(Get);
  REQUIRE(wait([&] { return !Service_.Requests_.empty(); }));
  Client_.close();
  CHECK(wait([&] { return Service_.Disconnect_->HasLeft_; }));
  // An answer after the disconnect is ignored.
  Service_.Exchanges_.front()->answer({200, {}}, "late");
  CHECK(Listener_->openConnections() == 0);
}

TEST_CASE_METHOD(Fixture, "Writes that are held reach the client once they are "
                          "resumed") {
  bool const IsLast = GENERATE(false, true);
  Client_.write(IsLast ? "GET /a HTTP/1.1\r\nHost: h\r\n"
                         "Connection: close\r\n\r\n"
                       : Get);
  REQUIRE(wait([&] { return !Service_.Exchanges_.empty(); }));
  auto const Held = Service_.Exchanges_.back();
  Held->holdWrites();
  Held->beginStream({200, {}});
  Held->send("event");
  Held->finishStream();
  CHECK(Held->unwrittenBytes() > 0);
  RawPeer Other(Context_, Listener_->localEndpoint());
  Other.write(Get);
  REQUIRE(wait([&] { return Service_.Exchanges_.size() == 2; }));
  Service_.Exchanges_.back()->answer({200, {}}, "other");
  REQUIRE(wait([&] { return Other.Received_.ends_with("other"); }));
  CHECK(Client_.Received_.empty());
  CHECK(Listener_->busyConnections() == 1);
  Held->resumeWrites();
  CHECK(wait([&] { return Client_.Received_.ends_with("0\r\n\r\n"); }));
  CHECK(Client_.Received_.find("event") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "Large writes are not held") {
  Client_.write(Get);
  REQUIRE(wait([&] { return !Service_.Exchanges_.empty(); }));
  auto const Held = Service_.Exchanges_.back();
  Held->holdWrites();
  Held->beginStream({200, {}});
  Held->send(std::string(Connection::MaxHeldBytes, 'x'));
  Held->finishStream();
  CHECK(wait([&] { return Client_.Received_.ends_with("0\r\n\r\n"); }));
}

TEST_CASE_METHOD(Fixture, "An aborted stream does not look complete") {
  Client_.write(Get);
  REQUIRE(wait([&] { return !Service_.Requests_.empty(); }));
  auto const &Exchange = Service_.Exchanges_.front();
  Exchange->beginStream({200, {}});
  Exchange->send("id: 1\n\n");
  REQUIRE(wait(
      [&] { return Client_.Received_.find("id: 1") != std::string::npos; }));
  Exchange->abort();
  REQUIRE(wait([&] { return Client_.IsClosed_; }));
  CHECK(Client_.WasReset_);
  CHECK_FALSE(Client_.Received_.ends_with(LastChunk));
}

TEST_CASE_METHOD(Fixture, "Malformed and oversized requests are rejected") {
  Service_.Bounds_.Message_ = {256, 16};
  RawPeer Strict(Context_, Listener_->localEndpoint());
  auto const [Bytes, Status] = GENERATE(table<std::string, std::string>(
      {{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "400"},
       {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n",
        "431"},
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n", "413"}}));
  Strict.write(Bytes);
  REQUIRE(wait([&] { return Strict.IsClosed_; }));
  CHECK(Strict.Received_.starts_with("HTTP/1.1 " + Status));
  CHECK(Service_.Requests_.empty());
  CHECK(Service_.Fault_ != MessageFault::None);
}

TEST_CASE_METHOD(Fixture, "A slow request times out and is not served") {
  Service_.Bounds_.RequestTimeout_ = std::chrono::milliseconds(50);
  Client_.write("GET /slow HTTP/1.1\r\nHos");
  REQUIRE(wait([&] { return Client_.IsClosed_; }));
  CHECK(Client_.Received_.starts_with("HTTP/1.1 408"));
  CHECK(Service_.Requests_.empty());
}

TEST_CASE_METHOD(Fixture, "A drain ends idle connections and busy ones after "
                          "their answer") {
  RawPeer Busy(Context_, Listener_->localEndpoint());
  Busy.write(Get);
  REQUIRE(wait([&] {
    return !Service_.Requests_.empty() && Listener_->openConnections() == 2;
  }));
  Listener_->stopAccepting();
  Listener_->drainConnections();
  REQUIRE(wait([&] { return Client_.IsClosed_; }));
  CHECK(Client_.Received_.empty());
  CHECK(Listener_->busyConnections() == 1);
  Service_.Exchanges_.front()->answer({200, {}}, "whole");
  REQUIRE(wait([&] { return Busy.IsClosed_; }));
  CHECK(Busy.Received_.ends_with("whole"));
  CHECK(Busy.Received_.find("Connection: close") != std::string::npos);
}

namespace {

/// A client that sends a request and reads nothing of the answer.
struct SilentReader {
  SilentReader(asio::io_context &Context, Endpoint const &Server)
      : Socket_(Context) {
    Socket_.connect(std::get<asio::ip::tcp::endpoint>(resolve(Server)));
    asio::write(Socket_, asio::buffer(std::string(Get)));
  }

  asio::ip::tcp::socket Socket_;
};

} // namespace

TEST_CASE_METHOD(Fixture, "Beyond the limit of unwritten bytes those are "
                          "aborted that have not read for the longest time") {
  constexpr std::size_t AnswerBytes = std::size_t{16} << 20;
  std::vector<std::unique_ptr<SilentReader>> Clients;
  for (std::size_t Number = 1; Number <= 3; ++Number) {
    Clients.push_back(
        std::make_unique<SilentReader>(Context_, Listener_->localEndpoint()));
    REQUIRE(wait([&] { return Service_.Requests_.size() == Number; }));
    Service_.Exchanges_.back()->answer({200, {}},
                                       std::string(AnswerBytes, 'x'));
  }
  CHECK(Listener_->limitUnwritten(4 * AnswerBytes) == 0);
  CHECK(Listener_->openConnections() == 4);
  CHECK(Listener_->limitUnwritten(AnswerBytes + AnswerBytes / 2) == 2);
  REQUIRE(wait([&] { return Listener_->openConnections() == 2; }));
  CHECK(Service_.Exchanges_[0]->unwrittenBytes() == 0);
  CHECK(Service_.Exchanges_[1]->unwrittenBytes() == 0);
  CHECK(Service_.Exchanges_[2]->unwrittenBytes() > 0);
}

// Guards against answers that pile up on a connection, refusals among them.
TEST_CASE_METHOD(Fixture, "A client that asks again without having read its "
                          "answer gets no other") {
  constexpr std::size_t AnswerBytes = std::size_t{16} << 20;
  SilentReader Silent(Context_, Listener_->localEndpoint());
  REQUIRE(wait([&] { return !Service_.Requests_.empty(); }));
  Service_.Exchanges_.back()->answer({200, {}}, std::string(AnswerBytes, 'x'));
  asio::write(Silent.Socket_, asio::buffer(std::string(Get)));
  REQUIRE(wait([&] {
    return Service_.Requests_.size() == 2 || Listener_->openConnections() == 1;
  }));
  CHECK(Service_.Requests_.size() == 1);
  CHECK(Service_.GivenUp_ == 1);
  // The first answer is still whole.
  std::size_t Received = 0;
  bool HasEnded = false;
  std::array<char, 65536> Buffer{};
  std::function<void()> const Read = [&] {
    Silent.Socket_.async_read_some(
        asio::buffer(Buffer), [&](asio::error_code Failure, std::size_t Count) {
          Received += Count;
          HasEnded = Failure == asio::error::eof;
          if (!Failure)
            Read();
        });
  };
  Read();
  CHECK(wait([&] { return HasEnded; }));
  CHECK(Received > AnswerBytes);
}

// Guards against a process that ends while a client still reads its answer.
TEST_CASE_METHOD(Fixture, "A connection is busy until its answer is written") {
  constexpr std::size_t AnswerBytes = std::size_t{16} << 20;
  SilentReader Slow(Context_, Listener_->localEndpoint());
  REQUIRE(wait([&] { return !Service_.Requests_.empty(); }));
  bool const IsDrainedFirst = GENERATE(false, true);
  if (IsDrainedFirst)
    Listener_->drainConnections();
  Service_.Exchanges_.front()->answer({200, {}}, std::string(AnswerBytes, 'x'));
  CHECK(Listener_->busyConnections() == 1);
  if (!IsDrainedFirst)
    Listener_->drainConnections();
  CHECK(Listener_->busyConnections() == 1);
  std::size_t Received = 0;
  std::array<char, 65536> Buffer{};
  std::function<void()> const Read = [&] {
    Slow.Socket_.async_read_some(
        asio::buffer(Buffer), [&](asio::error_code Failure, std::size_t Count) {
          Received += Count;
          if (!Failure)
            Read();
        });
  };
  Read();
  CHECK(wait([&] { return Received > AnswerBytes; }));
  CHECK(wait([&] { return Listener_->busyConnections() == 0; }));
}
