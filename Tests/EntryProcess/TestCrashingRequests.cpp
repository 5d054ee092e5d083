#include "EntryFleet.h"

#include <catch2/catch.hpp>

#include <functional>

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
  /// Sends a request of its own path and last part after the shared parts.
  Response sendPrompt(std::string const &SharedParts) {
    auto const Own = std::to_string(Next_);
    return Fleet_.instance(Next_++ % Fleet_.instances())
        .send("GET", "/read/" + Own, "k1",
              {{"X-Prompt-Prefix", SharedParts + ",0" + Own + ":80"}});
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

namespace {

/// Sends a deadly request again and again, each time when Prepare has returned,
/// and waits until its crash is judged and all servers are back.
void sendDeadlyOften(EntryFleet &Fleet, std::function<void()> const &Prepare) {
  Caller Caller{Fleet};
  for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent) {
    Prepare();
    auto const Crashes = Fleet.crashingRequestsReceived();
    auto const Judged = Fleet.countLines("server_judged");
    CHECK(Caller.send("GET", "/read/deadly").Status_ >= 500);
    if (Fleet.crashingRequestsReceived() > Crashes)
      REQUIRE(
          await([&] { return Fleet.countLines("server_judged") > Judged; }));
    REQUIRE(await([&] { return Fleet.areServersKnown(); }));
  }
  CHECK(Fleet.crashingRequestsReceived() <= CrashedServers + MaxLateRequests);
}

} // namespace

// An instance took the crash of the last server for a cut of its own link, and
// all forgot what they had seen of the request.
TEST_CASE("A request that crashes the last server of a service again and again "
          "is refused") {
  EntryFleet Fleet(3, 3, {std::chrono::milliseconds(600), {}});
  sendDeadlyOften(Fleet, [&] {
    Fleet.crashServer(0);
    Fleet.crashServer(1);
  });
}

// The same, as the request crashes one server after the other.
TEST_CASE(
    "A request that crashes all servers of a service in turn is refused") {
  EntryFleet Fleet(3, CrashedServers, {Downtime, {}});
  Caller Caller{Fleet};
  Caller.crashServers("GET", "/read/deadly");
  REQUIRE(
      await([&] { return Caller.send("GET", "/read/sound").Status_ == 200; }));
  for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent) {
    CHECK(Caller.send("GET", "/read/deadly").Status_ >= 500);
    CHECK(Caller.send("GET", "/read/sound").Status_ == 200);
  }
  CHECK(Fleet.crashingRequestsReceived() <= CrashedServers + MaxLateRequests);
}

// The next process at a server's address was taken for the one that crashed.
TEST_CASE("A request that crashed three servers reaches no others though each "
          "is back before it is probed") {
  EntryFleet Fleet(3, 12, {std::chrono::milliseconds(30), {}});
  sendDeadlyOften(Fleet, [] {});
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

namespace {

/// Whether servers have answered requests with the sound parts before.
enum class SoundParts { Answered, Unknown };

void crashServersByPart(SoundParts Known) {
  EntryFleet Fleet(3, 12, {Downtime, {}});
  Caller Caller{Fleet};
  std::string const Parts =
      GENERATE("dead:90", "dead:90,a1:500,b2:300", "a1:500,dead:90,b2:300",
               "a1:500,b2:300,dead:90");
  constexpr std::size_t FirstRequests = 8;
  if (Known == SoundParts::Answered)
    for (std::size_t Each = 0; Each < Fleet.instances(); ++Each)
      REQUIRE(Caller.sendPrompt("a1:500,b2:300").Status_ == 200);
  for (std::size_t Sent = 0; Sent < FirstRequests; ++Sent)
    CHECK(Caller.sendPrompt(Parts).Status_ != 200);
  REQUIRE(await([&] { return Fleet.areServersUp(); }));
  auto const Before = Fleet.crashingRequestsReceived();
  for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent) {
    CHECK(Caller.sendPrompt(Parts).Status_ == 503);
    CHECK(Caller.sendPrompt("a1:500,b2:300").Status_ == 200);
  }
  CHECK(Fleet.crashingRequestsReceived() - Before <= MaxLateRequests);
}

} // namespace

TEST_CASE(
    "A prompt part that crashed five servers reaches no others, and sound "
    "requests with the other parts are served") {
  crashServersByPart(SoundParts::Answered);
}

TEST_CASE("Sound requests are served though nobody answered their parts before "
          "five servers crashed under one of them") {
  crashServersByPart(SoundParts::Unknown);
}
