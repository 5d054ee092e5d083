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
