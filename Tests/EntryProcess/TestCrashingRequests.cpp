#include "EntryFleet.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

/// Longer than the time in which all instances learn of a crash.
constexpr Duration Downtime = std::chrono::seconds(3);
/// Crashing requests that may still reach servers after that time.
constexpr std::size_t MaxLateRequests = 3;
constexpr std::size_t CrashedServers = 3;
constexpr std::size_t LaterRequests = 12;

/// Sends to the instances in turn.
struct Caller {
  Response send(std::string const &Method, std::string const &Path) {
    return Fleet_.instance(Next_++ % Fleet_.instances()).send(Method, Path);
  }
  /// Sends the request until CrashedServers servers have crashed, then waits
  /// until all servers have restarted.
  void crashServers(std::string const &Method, std::string const &Path) {
    while (Fleet_.crashingRequestsReceived() < CrashedServers)
      CHECK(send(Method, Path).Status_ != 200);
    REQUIRE(await([&] { return Fleet_.areServersUp(); }));
  }

  EntryFleet &Fleet_;
  std::size_t Next_ = 0;
};

} // namespace

TEST_CASE("A request that crashed three servers reaches no others") {
  EntryFleet Fleet(3, 12, {Downtime, {}});
  Caller Caller{Fleet};
  auto const [Method, Path] = GENERATE(table<std::string, std::string>(
      {{"GET", "/read/deadly"}, {"POST", "/order/deadly"}}));
  Caller.crashServers(Method, Path);
  auto const Before = Fleet.crashingRequestsReceived();
  for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent) {
    CHECK(Caller.send(Method, Path).Status_ >= 500);
    CHECK(Caller.send("GET", "/read/sound").Status_ == 200);
  }
  CHECK(Fleet.crashingRequestsReceived() - Before <= MaxLateRequests);
}

TEST_CASE("A request that crashed three servers is refused also after all "
          "instances were killed") {
  EntryFleet Fleet(3, 12, {Downtime, {}});
  Caller Caller{Fleet};
  std::string const Path = "/order/deadly";
  Caller.crashServers("POST", Path);
  auto const Before = Fleet.crashingRequestsReceived();
  for (auto Restarts = 0; Restarts < 2; ++Restarts) {
    Fleet.restart();
    for (std::size_t Each = 0; Each < Fleet.instances(); ++Each)
      Fleet.instance(Each).process().awaitLine("crashes_restored");
    for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent)
      CHECK(Caller.send("POST", Path).Status_ >= 500);
  }
  CHECK(Fleet.crashingRequestsReceived() - Before <= MaxLateRequests);
}
