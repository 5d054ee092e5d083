#include "StreamChecks.h"

#include <catch2/catch.hpp>

namespace laburnum::entry_process {

std::deque<StreamClient> beginStreams(VersionedFleet &Fleet,
                                      std::size_t Instance,
                                      std::string const &Prefix) {
  std::deque<StreamClient> Begun;
  for (std::size_t Index = 0; Index < Streams; ++Index) {
    Begun.emplace_back(Fleet.instance(Instance),
                       Prefix + std::to_string(Index));
    Begun.back().readEvents(VersionedFleet::EventsBeforeStop);
  }
  return Begun;
}

void awaitRecord(VersionedFleet &Fleet, std::deque<StreamClient> const &Begun,
                 std::size_t Instance) {
  auto const IsRecorded = [&](StoreStandin &Store) {
    return Store.count("entry-streams") > 0 &&
           Store.object("entry-streams",
                        "edge-a-" + std::to_string(Instance + 1))
                   .dump()
                   .find(Begun.back().attemptId()) != std::string::npos;
  };
  REQUIRE(processes::await([&] { return Fleet.onStore(IsRecorded); }));
}

StreamClient takeUp(VersionedFleet &Fleet, std::size_t Instance,
                    StreamClient const &Begun) {
  StreamClient Client(Fleet.instance(Instance), Begun.attemptId() + "-again",
                      Begun.attemptId(),
                      std::to_string(VersionedFleet::EventsBeforeStop));
  Client.readToEnd();
  return Client;
}

std::set<std::string> versionsOf(ReceivedEvents Events,
                                 ReceivedEvents const &Later) {
  Events.insert(Later.begin(), Later.end());
  std::set<std::string> Versions;
  for (auto const &[Id, Version] : Events)
    Versions.insert(Version);
  return Versions;
}

std::size_t countTakenUp(VersionedFleet &Fleet, std::size_t Instance,
                         std::deque<StreamClient> const &Begun) {
  std::size_t WentOn = 0;
  for (auto const &First : Begun) {
    auto const AskedAt = readClock();
    auto const Again = takeUp(Fleet, Instance, First);
    CHECK(versionsOf(First.events(), Again.events()).size() == 1);
    if (Again.isComplete())
      ++WentOn;
    else
      CHECK(readClock() - AskedAt < RefusalTime);
  }
  return WentOn;
}

} // namespace laburnum::entry_process
