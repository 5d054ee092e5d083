#include "Loopback.h"

#include <LibHttp/HttpListener.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace laburnum;
using test::RawPeer;
using test::runUntil;

namespace {

constexpr char const *Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// Answers every request at once, except those that ask for a stream.
struct PromptService : HttpService {
  ClientBounds bounds() const override { return Bounds_; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    ++Requests_;
    if (Request.Head_.Target_ == "/stream") {
      Exchange->beginStream({200, {}});
      Stream_ = std::move(Exchange);
      return;
    }
    Exchange->answer({200, {}}, "whole");
  }

  void onCrossedClose(CrossedClose const &Crossed) override {
    Crossed_.push_back(Crossed);
  }

  ClientBounds Bounds_;
  std::shared_ptr<Exchange> Stream_; ///< The last one that has begun.
  std::size_t Requests_ = 0;
  std::vector<CrossedClose> Crossed_;
};

struct Fixture {
  explicit Fixture(std::size_t MaxConnections = 4096)
      : Listener_(std::get<0>(
            HttpListener::create(Context_, Endpoint{"127.0.0.1", 0}, Service_,
                                 std::make_shared<IntakeBudget>(IntakeLimits{
                                     std::size_t{1} << 20, MaxConnections})))) {
    Service_.Bounds_.AnswerTransit_ = Duration(0);
  }

  bool wait(std::function<bool()> const &Done) {
    return runUntil(Context_, Done);
  }
  std::unique_ptr<RawPeer> connect() {
    auto const Open = Listener_->openConnections();
    auto Client =
        std::make_unique<RawPeer>(Context_, Listener_->localEndpoint());
    REQUIRE(wait([&] { return Listener_->openConnections() == Open + 1; }));
    return Client;
  }
  /// Runs the task after the reactor has found what is ready, and before the
  /// handlers of timers that expire later.
  void runWithExpiredTimers(std::function<void()> Task) {
    asio::steady_timer Timer(Context_, std::chrono::milliseconds(1));
    bool IsDone = false;
    Timer.async_wait([&](asio::error_code) {
      Task();
      IsDone = true;
    });
    std::this_thread::sleep_for(2 * Service_.Bounds_.IdleTimeout_);
    REQUIRE(wait([&] { return IsDone; }));
  }

  void runReady() {
    Context_.restart();
    Context_.poll();
  }

  asio::io_context Context_;
  PromptService Service_;
  std::shared_ptr<HttpListener> Listener_;
};

} // namespace

TEST_CASE("A request that crosses the close of its connection is left "
          "unread") {
  Fixture On;
  auto const Close = GENERATE(IdleClose::Drain, IdleClose::IdleTimeout);
  if (Close == IdleClose::IdleTimeout)
    On.Service_.Bounds_.IdleTimeout_ = std::chrono::milliseconds(20);
  auto const Client = On.connect();
  if (Close == IdleClose::Drain)
    On.Listener_->drainConnections();
  REQUIRE(On.wait([&] { return Client->IsClosed_; }));
  Client->write(Get);
  REQUIRE(On.wait([&] { return !On.Service_.Crossed_.empty(); }));
  auto const &Crossed = On.Service_.Crossed_.front();
  CHECK(Crossed.Why_ == Close);
  CHECK(Crossed.Idle_ >= (Close == IdleClose::IdleTimeout
                              ? On.Service_.Bounds_.IdleTimeout_
                              : Duration(0)));
  CHECK(On.Service_.Requests_ == 0);
  // Only the reset shows the client that it may send its request again.
  CHECK(On.wait([&] { return Client->wasReset(); }));
}

TEST_CASE("A request that is unread when the listener drains is answered") {
  Fixture On;
  auto const Client = On.connect();
  Client->write(Get);
  On.Listener_->stopAccepting();
  On.Listener_->drainConnections();
  CHECK(On.Listener_->busyConnections() == 1);
  REQUIRE(On.wait([&] { return Client->IsClosed_; }));
  CHECK(Client->Received_.ends_with("whole"));
  CHECK(Client->Received_.find("Connection: close") != std::string::npos);
  CHECK(On.Listener_->busyConnections() == 0);
}

TEST_CASE("A request in the accept queue when the listener stops accepting is "
          "answered") {
  Fixture On;
  RawPeer Client(On.Context_, On.Listener_->localEndpoint());
  Client.write(Get);
  On.Listener_->stopAccepting();
  On.Listener_->drainConnections();
  REQUIRE(On.wait([&] { return Client.IsClosed_; }));
  CHECK(Client.Received_.ends_with("whole"));
}

TEST_CASE("A request that is unread when its connection's idle timeout expires "
          "is answered") {
  Fixture On;
  On.Service_.Bounds_.IdleTimeout_ = std::chrono::milliseconds(20);
  auto const Client = On.connect();
  On.runWithExpiredTimers([&] { Client->write(Get); });
  REQUIRE(
      On.wait([&] { return Client->IsClosed_ || !Client->Received_.empty(); }));
  CHECK(Client->Received_.ends_with("whole"));
}

TEST_CASE("A connection with an unread request does not make room for others") {
  Fixture On(2);
  auto const Asking = On.connect();
  auto const Idle = On.connect();
  RawPeer Late(On.Context_, On.Listener_->localEndpoint());
  Asking->write(Get);
  Late.write(Get);
  REQUIRE(On.wait([&] { return Late.Received_.ends_with("whole"); }));
  CHECK(Asking->Received_.ends_with("whole"));
  CHECK(Idle->IsClosed_);
}

TEST_CASE("A connection is not idle for a client that gets its answer late") {
  Fixture On;
  On.Service_.Bounds_.IdleTimeout_ = std::chrono::milliseconds(20);
  On.Service_.Bounds_.AnswerTransit_ = std::chrono::seconds(10);
  auto const Client = On.connect();
  On.runWithExpiredTimers([] {});
  On.runReady();
  CHECK(On.Listener_->openConnections() == 1);
  Client->write(Get);
  CHECK(On.wait([&] { return Client->Received_.ends_with("whole"); }));
}

TEST_CASE("An idle timeout that is raised holds for idle connections, too") {
  Fixture On;
  On.Service_.Bounds_.IdleTimeout_ = std::chrono::milliseconds(20);
  auto const Client = On.connect();
  On.runWithExpiredTimers(
      [&] { On.Service_.Bounds_.IdleTimeout_ = std::chrono::seconds(10); });
  On.runReady();
  CHECK(On.Listener_->openConnections() == 1);
  Client->write(Get);
  CHECK(On.wait([&] { return Client->Received_.ends_with("whole"); }));
}

TEST_CASE("A request that crosses the close after a stream that began before a "
          "drain is left unread") {
  Fixture On;
  auto const Client = On.connect();
  Client->write("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(On.wait([&] { return On.Service_.Stream_ != nullptr; }));
  On.Listener_->drainConnections();
  On.Service_.Stream_->finishStream();
  // The head of the stream has told the client that it may send another one.
  Client->write(Get);
  REQUIRE(On.wait([&] { return Client->IsClosed_; }));
  CHECK(Client->Received_.ends_with(LastChunk));
  CHECK(On.wait([&] { return Client->wasReset(); }));
  CHECK(On.Service_.Requests_ == 1);
}

TEST_CASE("A client that is still taking its answer is not idle") {
  Fixture On;
  On.Service_.Bounds_.IdleTimeout_ = std::chrono::milliseconds(20);
  asio::ip::tcp::socket Client(On.Context_);
  Client.connect(std::get<asio::ip::tcp::endpoint>(
      resolve(On.Listener_->localEndpoint())));
  asio::write(Client, asio::buffer(std::string(
                          "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
  REQUIRE(On.wait([&] { return On.Service_.Stream_ != nullptr; }));
  On.Service_.Stream_->send(std::string(std::size_t{16} << 20, 'x'));
  On.Service_.Stream_->finishStream();
  std::this_thread::sleep_for(3 * On.Service_.Bounds_.IdleTimeout_);
  On.runReady();
  CHECK(On.Listener_->openConnections() == 1);
}
