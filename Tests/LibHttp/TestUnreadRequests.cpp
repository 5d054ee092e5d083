#include "Loopback.h"

#include <LibHttp/HttpListener.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using test::RawPeer;
using test::runUntil;

namespace {

constexpr char const *Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// Answers every request at once.
struct PromptService : HttpService {
  ClientBounds bounds() const override { return Bounds_; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest /*Request*/) override {
    ++Requests_;
    Exchange->answer({200, {}}, "whole");
  }

  void onCrossedClose(CrossedClose const &Crossed) override {
    Crossed_.push_back(Crossed);
  }

  ClientBounds Bounds_;
  std::size_t Requests_ = 0;
  std::vector<CrossedClose> Crossed_;
};

struct Fixture {
  explicit Fixture(std::size_t MaxConnections = 4096)
      : Listener_(std::get<0>(HttpListener::create(
            Context_, Endpoint{"127.0.0.1", 0}, Service_,
            std::make_shared<IntakeBudget>(
                IntakeLimits{std::size_t{1} << 20, MaxConnections})))) {}

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
