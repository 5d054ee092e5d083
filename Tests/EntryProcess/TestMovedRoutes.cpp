#include "StreamChecks.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using Stop = VersionedFleet::Stop;

} // namespace

TEST_CASE("A stream does not go on at another service that a configuration "
          "has moved its route to") {
  VersionedFleet Fleet(3, Stop::Waits);
  for (std::string const Number : {"1", "2"}) {
    Fleet.addServer("old-" + Number, "v1", "desk");
    Fleet.addServer("new-" + Number, "w1", "archive");
  }
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("taken up at another instance") {
    Fleet.configureStreams({"archive"});
    Fleet.awaitList();
    for (auto &Client : Begun)
      Client.reset();
    CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  }
  SECTION("the instance that began it was killed") {
    Fleet.configureStreams({"archive"});
    Fleet.awaitList();
    Fleet.instance(0).kill();
    CHECK(countTakenUp(Fleet, 2, Begun) == 0);
  }
  SECTION("the route moved while no instance was running") {
    Fleet.killAll();
    Fleet.configureStreams({"archive"});
    Fleet.startInstances();
    CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  }
  SECTION("all instances were killed after the route had moved") {
    Fleet.configureStreams({"archive"});
    Fleet.awaitList();
    Fleet.killAll();
    Fleet.startInstances();
    CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  }
  SECTION("the route is split between both services") {
    Fleet.configureStreams({"archive", "desk"});
    Fleet.awaitList();
    for (auto &Client : Begun)
      Client.reset();
    countTakenUp(Fleet, 1, Begun);
    Fleet.configureStreams({"desk", "archive"});
    Fleet.awaitList();
    countTakenUp(Fleet, 1, Begun);
  }
}

TEST_CASE("Streams that begin after their route has moved are taken up again") {
  VersionedFleet Fleet(3, Stop::Waits);
  for (std::string const Number : {"1", "2"}) {
    Fleet.addServer("old-" + Number, "v1", "desk");
    Fleet.addServer("new-" + Number, "w1", "archive");
  }
  Fleet.startInstances();
  Fleet.configureStreams({"archive"});
  Fleet.awaitList();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("at another instance") {
    for (auto &Client : Begun)
      Client.reset();
  }
  SECTION("after the instance was killed") {
    awaitRecord(Fleet, Begun);
    Fleet.instance(0).kill();
  }
  CHECK(countTakenUp(Fleet, 1, Begun) == Streams);
}
