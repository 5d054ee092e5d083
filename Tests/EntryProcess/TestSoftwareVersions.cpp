#include "StreamChecks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <deque>

using namespace laburnum;
using namespace laburnum::entry_process;

using Stop = VersionedFleet::Stop;

TEST_CASE("A stream is not continued by a server of another software version") {
  VersionedFleet Fleet(1, Stop::BreaksOff);
  auto const OfEach = GENERATE(1U, 2U);
  for (unsigned Number = 0; Number < OfEach; ++Number)
    for (std::string const Version : {"v2", "v10", "blue"})
      Fleet.addServer(Version + "-" + std::to_string(Number), Version);
  Fleet.startInstances();
  std::set<std::string> Begun;
  std::size_t CompleteStreams = 0;
  for (std::size_t Index = 0; Index < Streams; ++Index) {
    StreamClient Client(Fleet.instance(0), "stream-" + std::to_string(Index));
    Client.readToEnd();
    auto const Versions = versionsOf(Client.events());
    CHECK(Versions.size() == 1);
    CompleteStreams += Client.isComplete() ? 1 : 0;
    Begun.insert(Versions.begin(), Versions.end());
  }
  CHECK(Begun.size() == 3);
  CHECK((CompleteStreams == Streams) == (OfEach > 1));
}

TEST_CASE("A stream that is taken up again goes on only at the software "
          "version that began it") {
  VersionedFleet Fleet(3, Stop::Waits);
  for (std::string const Version : {"v1", "v2"})
    for (std::string const Number : {"-1", "-2"})
      Fleet.addServer(Version + Number, Version);
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("the client's connection is reset") {
    for (auto &Client : Begun)
      Client.reset();
    CHECK(countTakenUp(Fleet, 1, Begun) == Streams);
  }
  SECTION("at the instance that began it") {
    for (auto &Client : Begun)
      Client.reset();
    CHECK(countTakenUp(Fleet, 0, Begun) == Streams);
  }
  SECTION("the instance was killed") {
    awaitRecord(Fleet, Begun);
    Fleet.instance(0).kill();
    CHECK(countTakenUp(Fleet, 1, Begun) >= Streams / 2);
  }
  SECTION("all instances were killed and restarted") {
    awaitRecord(Fleet, Begun);
    Fleet.killAll();
    Fleet.startInstances();
    CHECK(countTakenUp(Fleet, 2, Begun) >= Streams / 2);
  }
  SECTION("the version that began it is gone") {
    Fleet.removeServer("v1-1");
    Fleet.removeServer("v1-2");
    Fleet.awaitList();
    CHECK(countTakenUp(Fleet, 1, Begun) < Streams);
  }
  SECTION("its server is born again with another version") {
    Fleet.removeServer("v1-2");
    Fleet.addServer("v1-1", "v2");
    Fleet.awaitList();
    CHECK(countTakenUp(Fleet, 0, Begun) < Streams);
    CHECK(countTakenUp(Fleet, 1, Begun) < Streams);
  }
}

TEST_CASE("A stream is not continued by the servers that replaced all others "
          "while no instance was running") {
  VersionedFleet Fleet(3, Stop::Waits);
  Fleet.addServer("v1-1", "v1");
  Fleet.addServer("v1-2", "v1");
  Fleet.startInstances();
  auto const Begun = beginStreams(Fleet, 0);
  SECTION("one version after the other") {}
  SECTION("both versions at first") {
    Fleet.addServer("v2-0", "v2");
    Fleet.awaitList();
  }
  SECTION("the old version drains") {
    Fleet.drainServer("v1-1");
    Fleet.drainServer("v1-2");
    Fleet.awaitList();
  }
  Fleet.killAll();
  Fleet.addServer("v2-1", "v2");
  Fleet.addServer("v2-2", "v2");
  Fleet.removeServer("v1-1");
  Fleet.removeServer("v1-2");
  Fleet.startInstances();
  CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  // What is known to have begun at the new version goes on.
  auto const Later = beginStreams(Fleet, 2, "later-");
  CHECK(countTakenUp(Fleet, 1, Later) >= Streams / 2);
}

TEST_CASE("A stream whose first attempt is not named goes on only where one "
          "software version serves") {
  VersionedFleet Fleet(1, Stop::Waits);
  Fleet.addServer("v1-1", "v1");
  bool const IsMixed = GENERATE(false, true);
  if (IsMixed)
    Fleet.addServer("v2-1", "v2");
  Fleet.startInstances();
  StreamClient Client(Fleet.instance(0), "again", {}, "2");
  Client.readToEnd();
  CHECK(Client.isComplete() == !IsMixed);
  CHECK(Client.status() == (IsMixed ? 503 : 200));
}

TEST_CASE("Streams are taken up again while the store is away, where one "
          "software version serves") {
  VersionedFleet Fleet(3, Stop::Waits);
  Fleet.addServer("v1-1", "v1");
  Fleet.addServer("v1-2", "v1");
  Fleet.startInstances();
  auto const Begun = beginStreams(Fleet, 0);
  Fleet.onStore([](StoreStandin &Store) {
    Store.setMode(StoreMode::Busy);
    return true;
  });
  Fleet.instance(0).kill();
  CHECK(countTakenUp(Fleet, 1, Begun) == Streams);
}

// Guards against a stream that goes on at the version that an instance knew
// before its process stood still.
TEST_CASE("An instance that stood still while a new software version joined "
          "continues no stream of that version at the old one") {
  VersionedFleet Fleet(3, Stop::Waits);
  Fleet.addServer("v1-1", "v1");
  Fleet.addServer("v1-2", "v1");
  Fleet.startInstances();
  auto &Still = Fleet.instance(1);
  bool const IsStoreAway = GENERATE(true, false);
  Still.process().signal(SIGSTOP);
  Fleet.addServer("v2-1", "v2");
  Fleet.addServer("v2-2", "v2");
  auto const IsOld = [](StreamClient const &Client) {
    return versionsOf(Client.events()).contains("v1");
  };
  std::deque<StreamClient> Begun;
  for (int Round = 0; std::all_of(Begun.begin(), Begun.end(), IsOld); ++Round) {
    Begun = beginStreams(Fleet, 0, "first-" + std::to_string(Round) + "-");
    REQUIRE(Round < 20);
  }
  awaitRecord(Fleet, Begun);
  if (IsStoreAway)
    Fleet.onStore([](StoreStandin &Store) {
      Store.setMode(StoreMode::Busy);
      return true;
    });
  Still.process().signal(SIGCONT);
  countTakenUp(Fleet, 1, Begun);
}
