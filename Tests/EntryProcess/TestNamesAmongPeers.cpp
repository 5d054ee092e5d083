#include "EntryFleet.h"
#include "StandinRecords.h"

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using namespace laburnum::entry_process;
using laburnum::processes::await;

namespace {

constexpr unsigned Instances = 3;

/// Writes servers whose names mean something else in a URL, and lets a page of
/// a list end at each of them.
void writeOddServers(EntryFleet &Fleet) {
  Fleet.onStore([](StoreStandin &Store) {
    for (std::string const Name :
         {"a00%20", "a01%25", "a02&b=", "a03+", "a04%C3%A9"})
      Store.put("servers", Name,
                serverJson({"127.0.0.1", 9}, "draining", 1700000000000, 1));
    Store.setPageSize(1);
  });
}

bool areAllReady(EntryFleet &Fleet) {
  for (std::size_t Number = 0; Number < Instances; ++Number)
    if (!Fleet.instance(Number).isReady())
      return false;
  return true;
}

} // namespace

TEST_CASE("No instance of a fleet stays unready after a restart because of the "
          "names at which pages of a list end") {
  EntryFleet Fleet(Instances, 2, {});
  writeOddServers(Fleet);
  SECTION("one is restarted") {
    Fleet.instance(1).kill();
    Fleet.instance(1).launch();
  }
  SECTION("all are restarted") {
    for (std::size_t Number = 0; Number < Instances; ++Number)
      Fleet.instance(Number).kill();
    for (std::size_t Number = 0; Number < Instances; ++Number)
      Fleet.instance(Number).launch();
  }
  REQUIRE(await([&] { return areAllReady(Fleet); }));
  for (std::size_t Number = 0; Number < Instances; ++Number)
    CHECK(Fleet.instance(Number).send("GET", "/read/x").Status_ == 200);
}
