#include "EntryFleet.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

/// Servers are back after the time in which instances learn of a crash.
constexpr Duration Downtime = std::chrono::seconds(3);
/// What may still reach servers once that time has passed.
constexpr std::size_t MostRetries = 3;
constexpr std::size_t CrashedServers = 3;
constexpr std::size_t LaterRequests = 12;

} // namespace

TEST_CASE("A request that crashed three servers goes on to no others") {
  EntryFleet Fleet(3, 12, Downtime);
  std::size_t Next = 0;
  auto const Send = [&](std::string const &Method, std::string const &Path) {
    return Fleet.instance(Next++ % Fleet.instances()).send(Method, Path);
  };
  auto const [Method, Path] = GENERATE(table<std::string, std::string>(
      {{"GET", "/read/deadly"}, {"POST", "/order/deadly"}}));
  while (Fleet.deadlyArrivals() < CrashedServers)
    CHECK(Send(Method, Path).Status_ != 200);
  REQUIRE(await([&] { return Fleet.areServersUp(); }));
  auto const Before = Fleet.deadlyArrivals();
  for (std::size_t Sent = 0; Sent < LaterRequests; ++Sent) {
    CHECK(Send(Method, Path).Status_ >= 500);
    CHECK(Send("GET", "/read/sound").Status_ == 200);
  }
  CHECK(Fleet.deadlyArrivals() - Before <= MostRetries);
}
