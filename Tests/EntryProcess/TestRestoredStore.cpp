#include "EntryFleet.h"
#include "StandinRecords.h"

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

/// The time in which the users expect a change to be in force.
constexpr Duration ApplyTime = std::chrono::milliseconds(2500);

/// Moves the store's revision on.
void writeTimes(StoreStandin &Store, std::uint64_t Times) {
  for (std::uint64_t Each = 0; Each < Times; ++Each)
    Store.put("other", "x", Each);
}

bool isServedByAll(EntryFleet &Fleet, std::string const &Path) {
  for (std::size_t Index = 0; Index < Fleet.instances(); ++Index)
    if (Fleet.instance(Index).send("GET", Path).Status_ != 200)
      return false;
  return true;
}

} // namespace

TEST_CASE("Changes made after the store was restored from an older copy are in "
          "force in time at all instances") {
  EntryFleet Fleet(3, 3, {});
  auto const LaterWrites = GENERATE(0U, 60U);
  auto const Restorations = GENERATE(1U, 2U);
  std::uint64_t Version = 1;
  auto const Configure = [&](std::uint64_t Written) {
    Fleet.onStore([&](StoreStandin &Store) {
      Store.put("config", "main", configurationJson(Written));
    });
  };
  auto const Path = [](std::uint64_t Written) {
    return "/v" + std::to_string(Written) + "/x";
  };
  for (unsigned Each = 0; Each < Restorations; ++Each) {
    auto const Older =
        Fleet.onStore([](StoreStandin &Store) { return Store.backup(); });
    Fleet.onStore([](StoreStandin &Store) { writeTimes(Store, 50); });
    Configure(++Version);
    REQUIRE(await([&] { return isServedByAll(Fleet, Path(Version)); }));
    Fleet.onStore([&](StoreStandin &Store) {
      Store.restore(Older);
      writeTimes(Store, LaterWrites);
    });
    CHECK(isServedByAll(Fleet, Path(Version)));
    // The operator writes again what it wrote.
    Configure(Version);
  }
  SECTION("no instance restarts") {}
  SECTION("an instance restarts meanwhile") { Fleet.instance(1).start(); }
  Configure(++Version);
  auto const WrittenAt = readClock();
  REQUIRE(await([&] { return isServedByAll(Fleet, Path(Version)); }));
  CHECK(readClock() - WrittenAt < ApplyTime);
  CHECK(isServedByAll(Fleet, Path(Version - 1)));
}

TEST_CASE(
    "What the instances wrote before a restoration is written again, with "
    "few calls") {
  EntryFleet Fleet(3, 12, {std::chrono::seconds(3), {}});
  auto Older =
      Fleet.onStore([](StoreStandin &Store) { return Store.backup(); });
  for (auto const *Lost :
       {"entry-instances", "entry-secrets", "entry-crashes", "lease"})
    Older.Objects_.erase(Lost);
  for (std::size_t Sent = 0; Sent < 4; ++Sent)
    Fleet.instance(Sent % 3).send("GET", "/read/deadly");
  auto const Crashed = Fleet.crashingRequestsReceived();
  auto const IsWritten = [&] {
    return Fleet.onStore([&](StoreStandin &Store) {
      return Store.count("entry-instances") == Fleet.instances() &&
             Store.count("entry-secrets") == 1 && Store.count("lease") == 1 &&
             Store.count("entry-crashes") == 1;
    });
  };
  REQUIRE(await(IsWritten));
  auto const Before = Fleet.onStore([&](StoreStandin &Store) {
    Store.restore(Older);
    return Store.calls();
  });
  CHECK(await(IsWritten));
  constexpr std::size_t MaxCallsPerInstance = 20;
  CHECK(Fleet.onStore([](StoreStandin &Store) { return Store.calls(); }) -
            Before <
        MaxCallsPerInstance * Fleet.instances());
  // An instance that starts now finds the others, and the refused content.
  Fleet.instance(1).start();
  Fleet.instance(1).process().awaitLine("fleet_changed live=3");
  Fleet.instance(1).process().awaitLine("crashes_restored");
  CHECK(Fleet.instance(1).send("GET", "/read/deadly").Status_ == 503);
  CHECK(Fleet.crashingRequestsReceived() == Crashed);
}

TEST_CASE("A server that was listed as leaving gets no requests though the "
          "restored store lists it as ready") {
  EntryFleet Fleet(2, 2, {});
  auto const Older =
      Fleet.onStore([](StoreStandin &Store) { return Store.backup(); });
  Fleet.onStore([](StoreStandin &Store) {
    auto Leaving = Store.object("servers", "i0-1");
    Leaving["state"] = "draining";
    Store.put("servers", "i0-1", Leaving);
  });
  for (std::size_t Index = 0; Index < Fleet.instances(); ++Index)
    Fleet.instance(Index).process().awaitLine("state=draining");
  Fleet.onStore([&](StoreStandin &Store) { Store.restore(Older); });
  for (std::size_t Index = 0; Index < Fleet.instances(); ++Index)
    Fleet.instance(Index).process().awaitLine("store_restored");
  auto const Before = Fleet.arrivals(0).size();
  for (std::size_t Sent = 0; Sent < 20; ++Sent)
    CHECK(Fleet.instance(Sent % 2).send("GET", "/read/x").Status_ == 200);
  CHECK(Fleet.arrivals(0).size() == Before);
}
