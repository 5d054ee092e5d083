#include "StreamChecks.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using Stop = VersionedFleet::Stop;

void addServers(VersionedFleet &Fleet, std::vector<std::string> const &Ids,
                std::string const &Version) {
  for (auto const &Id : Ids)
    Fleet.addServer(Id, Version);
}

/// Reads the streams to their ends and checks that none holds events of two
/// software versions. Returns how many were complete.
std::size_t countComplete(std::deque<StreamClient> &Begun) {
  std::size_t Complete = 0;
  for (auto &Client : Begun) {
    Client.readToEnd();
    CHECK(versionsOf(Client.events()).size() <= 1);
    Complete += Client.isComplete() ? 1 : 0;
  }
  return Complete;
}

} // namespace

TEST_CASE("A stream is not continued by a server that came back at another "
          "software version before the list says so") {
  VersionedFleet Fleet(2, Stop::Waits);
  addServers(Fleet, {"a", "b"}, "v1");
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  addServers(Fleet, {"c", "d"}, "v1");
  Fleet.awaitList();
  SECTION("within the answer") {
    Fleet.restartServer("a", "v2");
    Fleet.restartServer("b", "v2");
    CHECK(countComplete(Begun) == Streams);
  }
  SECTION("where the client takes it up") {
    Fleet.restartServer("a", "v2");
    Fleet.restartServer("b", "v2");
    for (auto &Client : Begun)
      Client.reset();
    CHECK(countTakenUp(Fleet, 0, Begun) == Streams);
    CHECK(countTakenUp(Fleet, 1, Begun) == Streams);
  }
  SECTION("all servers have come back so") {
    for (std::string const Id : {"a", "b", "c", "d"})
      Fleet.restartServer(Id, "v2");
    for (auto &Client : Begun)
      Client.reset();
    CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  }
}

TEST_CASE("A stream that began at a server that had come back at another "
          "software version goes on at that version only") {
  VersionedFleet Fleet(2, Stop::Waits);
  addServers(Fleet, {"a", "b", "c", "d", "e"}, "v1");
  Fleet.startInstances();
  beginStreams(Fleet, 0, "before-");
  Fleet.restartServer("a", "v2");
  auto Begun = beginStreams(Fleet, 0);
  auto Other = beginStreams(Fleet, 1, "other-");
  SECTION("before the list says so") {}
  SECTION("when the list says so") {
    Fleet.listRestarted("a");
    Fleet.awaitList();
  }
  for (auto &Client : Other)
    Client.reset();
  countTakenUp(Fleet, 0, Other);
  Fleet.breakStreams();
  countComplete(Begun);
  // The list names the new version at last, and streams begin at it.
  Fleet.listRestarted("a");
  Fleet.awaitList();
  for (std::string const Id : {"b", "c", "d", "e"})
    Fleet.removeServer(Id);
  Fleet.awaitList();
  std::size_t BegunLater = 0;
  for (auto const &Client : beginStreams(Fleet, 1, "later-")) {
    BegunLater += versionsOf(Client.events()).count("v2");
    CHECK_FALSE(versionsOf(Client.events()).contains("v1"));
  }
  CHECK(BegunLater > 0);
}

TEST_CASE("A stream goes on neither at nor after a server that does not "
          "identify itself") {
  using Reports = VersionedFleet::ServerReports;
  VersionedFleet Fleet(2, Stop::Waits);
  bool const BeginsThere = GENERATE(true, false);
  Fleet.setReports(BeginsThere ? Reports::None : Reports::Given);
  addServers(Fleet, {"a", "b"}, "v1");
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  // Others of the version that is listed, which go on with no stream of theirs.
  Fleet.setReports(BeginsThere ? Reports::Given : Reports::None);
  addServers(Fleet, {"c", "d"}, "v1");
  Fleet.awaitList();
  SECTION("within the answer") {
    Fleet.crashServer("a");
    Fleet.crashServer("b");
    CHECK(countComplete(Begun) == 0);
  }
  SECTION("where the client takes it up") {
    for (auto &Client : Begun)
      Client.reset();
    Fleet.removeServer("a");
    Fleet.removeServer("b");
    Fleet.awaitList();
    CHECK(countTakenUp(Fleet, 0, Begun) == 0);
    CHECK(countTakenUp(Fleet, 1, Begun) == 0);
  }
}
