#include "EntryFixture.h"

#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <httplib.h>

#include <csignal>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

constexpr std::uint16_t ReadinessPort = 8365;
constexpr std::uint16_t PeerMessagesPort = 7500;
constexpr std::uint16_t PeerRequestsPort = 7501;
constexpr std::uint16_t MetricsPort = 9464;

/// Holds a port as a process does that has not ended yet.
class HeldPort {
public:
  HeldPort(std::string const &Address, std::uint16_t Port)
      : Acceptor_(Context_, {asio::ip::make_address(Address), Port}) {}
  void release() { Acceptor_.close(); }

private:
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
};

/// An instance whose process is started while one of its ports is held.
class WaitingInstance : public EntryFixture {
protected:
  /// Ends the process, holds the port and starts the next process; returns once
  /// that has found the port held.
  std::unique_ptr<HeldPort> holdPort(std::uint16_t Port) {
    Instance_->kill();
    auto Held = std::make_unique<HeldPort>(Instance_->address(), Port);
    Instance_->launch();
    auto const Line =
        Instance_->process().awaitLine(":" + std::to_string(Port));
    INFO(Line);
    CHECK(Line.find("port_held") != std::string::npos);
    CHECK(
        Line.find(std::make_error_code(std::errc::address_in_use).message()) !=
        std::string::npos);
    return Held;
  }

  std::vector<std::string> linesWith(std::string const &Text) const {
    auto Found = Instance_->process().lines();
    std::erase_if(Found, [&](auto const &Line) {
      return Line.find(Text) == std::string::npos;
    });
    return Found;
  }

  httplib::Result getMetrics() const {
    return httplib::Client(Instance_->address(), MetricsPort).Get("/metrics");
  }
};

/// Seen for the last time before an instance is ready.
constexpr char const *WaitsForPort = "a port for requests is still held";

} // namespace

TEST_CASE_METHOD(WaitingInstance, "An instance is not ready while a port for "
                                  "requests is held, and serves once it is "
                                  "free") {
  auto const Port = GENERATE(EntryProcess::TrafficPort, PeerRequestsPort);
  auto const Held = holdPort(Port);
  Instance_->process().awaitLine(WaitsForPort);
  CHECK_FALSE(Instance_->process().hasEnded());
  CHECK_FALSE(Instance_->isReady());
  auto const Page =
      httplib::Client(Instance_->address(), ReadinessPort).Get("/readiness");
  REQUIRE(Page);
  CHECK(Page->body == std::string("not ready: ") + WaitsForPort + '\n');
  Held->release();
  REQUIRE(processes::await([&] { return Instance_->isReady(); }));
  CHECK(send("GET", "/read/1").Status_ == 200);
  httplib::Client Passed(Instance_->address(), PeerRequestsPort);
  CHECK(Passed.Get("/read/1"));
  Instance_->process().awaitLine("port_open");
  CHECK(linesWith("port_open").size() == 1);
}

TEST_CASE_METHOD(WaitingInstance, "An instance answers readiness checks once "
                                  "their port is free") {
  auto const Held = holdPort(ReadinessPort);
  // Callers that know the address are served meanwhile.
  Instance_->process().awaitLine("ready=yes");
  CHECK(send("GET", "/read/1").Status_ == 200);
  Held->release();
  Instance_->process().awaitLine("port_open");
  CHECK(Instance_->isReady());
  CHECK(send("GET", "/read/1").Status_ == 200);
}

TEST_CASE_METHOD(WaitingInstance, "An instance has peers once the port for "
                                  "their messages is free") {
  auto const Held = holdPort(PeerMessagesPort);
  REQUIRE(processes::await([&] { return Instance_->isReady(); }));
  CHECK(send("GET", "/read/1").Status_ == 200);
  CHECK_FALSE(Instance_->process().hasWritten("fleet_changed"));
  Held->release();
  Instance_->process().awaitLine("fleet_changed");
  CHECK(send("GET", "/read/1").Status_ == 200);
}

// Guards against whole quotas and retry budgets being taken by an instance that
// is not alone.
TEST_CASE_METHOD(WaitingInstance,
                 "An instance knows how many are registered while the port for "
                 "messages of its peers is held") {
  on([this] {
    Store_.put("entry-instances", "elsewhere",
               {{"id", "elsewhere"},
                {"data_centre", "x"},
                {"host", "127.0.0.250"},
                {"port", PeerMessagesPort}});
  });
  auto const Held = holdPort(PeerMessagesPort);
  CHECK_NOTHROW(
      Instance_->process().awaitLine("fleet_changed live=1 registered=2"));
  REQUIRE(processes::await([&] { return Instance_->isReady(); }));
  Held->release();
  Instance_->process().awaitLine("port_open");
  CHECK(send("GET", "/read/1").Status_ == 200);
}

TEST_CASE_METHOD(WaitingInstance, "An instance serves while the port of its "
                                  "metrics is held, and the metrics once it "
                                  "is free") {
  auto const Held = holdPort(MetricsPort);
  REQUIRE(processes::await([&] { return Instance_->isReady(); }));
  CHECK(send("GET", "/read/1").Status_ == 200);
  Held->release();
  Instance_->process().awaitLine("port_open");
  auto const Page = getMetrics();
  REQUIRE(Page);
  CHECK(Page->status == 200);
}

TEST_CASE_METHOD(WaitingInstance,
                 "An instance that waits for a port ends on SIGTERM") {
  auto const Port = GENERATE(EntryProcess::TrafficPort, ReadinessPort,
                             PeerMessagesPort, PeerRequestsPort, MetricsPort);
  auto const Held = holdPort(Port);
  Instance_->process().signal(SIGTERM);
  CHECK(Instance_->process().awaitEnd() == 0);
  CHECK_NOTHROW(Instance_->process().awaitLine("event=stopped"));
  // Tries are far more frequent than lines about them.
  std::int64_t const LogPeriodMs = 10000;
  std::int64_t EarliestMs = 0;
  for (auto const &Line : linesWith("port_held")) {
    std::string const Label = "held_ms=";
    auto const HeldMs =
        std::stoll(Line.substr(Line.find(Label) + Label.size()));
    CHECK(HeldMs >= EarliestMs);
    EarliestMs = HeldMs + LogPeriodMs;
  }
}

TEST_CASE_METHOD(WaitingInstance, "A process follows one that still serves "
                                  "when it starts") {
  EntryProcess Next(0, on([this] { return storePort(); }));
  Next.launch();
  Next.process().awaitLine(":8360");
  Instance_->kill();
  REQUIRE(processes::await([&] {
    return Next.process().hasWritten("ready=yes") && Next.isReady();
  }));
  CHECK(send("GET", "/read/1").Status_ == 200);
  Next.process().awaitLine("fleet_changed");
  CHECK_FALSE(Next.process().hasEnded());
}
