#include "EntryFleet.h"
#include "StandinRecords.h"

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

void setMode(EntryFleet &Fleet, StoreMode Mode) {
  Fleet.onStore([&](StoreStandin &Store) { Store.setMode(Mode); });
}

bool isServedByAll(EntryFleet &Fleet, std::string const &Path) {
  for (std::size_t Index = 0; Index < Fleet.instances(); ++Index)
    if (Fleet.instance(Index).send("GET", Path).Status_ != 200)
      return false;
  return true;
}

/// Whether the instance has last seen so many live instances.
bool knowsLive(EntryProcess &Instance, unsigned Live) {
  std::string Last;
  for (auto const &Line : Instance.process().lines())
    if (Line.find("fleet_changed") != std::string::npos)
      Last = Line;
  return Last.find(" live=" + std::to_string(Live) + ' ') != std::string::npos;
}

/// Whether the instance has ever taken itself for the only one since it first
/// knew another.
bool hasForgottenOthers(EntryProcess &Instance) {
  bool HasKnown = false;
  for (auto const &Line : Instance.process().lines()) {
    if (Line.find("fleet_changed") == std::string::npos)
      continue;
    HasKnown |= processes::portIn(Line, "live=") > 1;
    if (HasKnown && processes::portIn(Line, "registered=") == 1)
      return true;
  }
  return false;
}

} // namespace

TEST_CASE("An instance that starts while the store is away serves what its "
          "peers know and follows the store when it is back") {
  auto const Mode =
      GENERATE(StoreMode::Silent, StoreMode::Busy, StoreMode::Resets);
  CAPTURE(static_cast<int>(Mode));
  EntryFleet Fleet(3, 2, {});
  auto &Restarted = Fleet.instance(1);
  setMode(Fleet, Mode);
  Restarted.kill();
  SECTION("at once") {}
  SECTION("after its peers have found it gone") {
    REQUIRE(await([&] {
      return knowsLive(Fleet.instance(0), 2) && knowsLive(Fleet.instance(2), 2);
    }));
  }
  Restarted.launch();
  REQUIRE(await([&] { return Restarted.isReady(); }));
  CHECK(Restarted.send("GET", "/read/x").Status_ == 200);
  auto const Introduction = Restarted.process().awaitLine("event=introduced");
  CHECK(Introduction.find(" sender=") != std::string::npos);
  CHECK(Introduction.find(":7500") != std::string::npos);
  CHECK(await([&] {
    return knowsLive(Fleet.instance(0), 3) && knowsLive(Fleet.instance(2), 3);
  }));
  // It takes its share of quotas and of retries as one of three.
  CHECK_NOTHROW(
      Restarted.process().awaitLine("fleet_changed live=3 registered=3"));
  CHECK_FALSE(hasForgottenOthers(Restarted));

  setMode(Fleet, StoreMode::Normal);
  Fleet.onStore([](StoreStandin &Store) {
    Store.put("config", "main", configurationJson(2));
  });
  CHECK(await([&] { return isServedByAll(Fleet, "/v2/x"); }));
  CHECK(Restarted.send("GET", "/read/x").Status_ == 200);
  CHECK_FALSE(hasForgottenOthers(Restarted));
}

TEST_CASE("An instance that starts without store and peers refuses requests "
          "until the store is back") {
  auto const Mode =
      GENERATE(StoreMode::Silent, StoreMode::Busy, StoreMode::Resets);
  CAPTURE(static_cast<int>(Mode));
  EntryFleet Fleet(1, 2, {});
  auto &Restarted = Fleet.instance(0);
  setMode(Fleet, Mode);
  Restarted.launch();
  Restarted.process().awaitLine("dependency_lost");
  CHECK(Restarted.send("GET", "/read/x").Status_ == 503);
  CHECK(!Restarted.isReady());
  setMode(Fleet, StoreMode::Normal);
  REQUIRE(await([&] { return Restarted.isReady(); }));
  CHECK(Restarted.send("GET", "/read/x").Status_ == 200);
}
