#include "VersionedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

constexpr std::size_t Streams = 8;
/// The longest time until a client is told that its stream cannot go on.
constexpr std::chrono::milliseconds AbortTime{1000};

/// How the streams of a cut-off instance ended for their clients.
struct Ended {
  std::size_t Complete_ = 0;
  std::size_t Aborted_ = 0;
};

/// Begins streams at the instance.
std::deque<StreamClient> beginStreams(VersionedFleet &Fleet,
                                      std::size_t Instance) {
  std::deque<StreamClient> Begun;
  for (std::size_t Index = 0; Index < Streams; ++Index) {
    Begun.emplace_back(Fleet.instance(Instance),
                       "stream-" + std::to_string(Index));
    Begun.back().readEvents(VersionedFleet::EventsBeforeStop);
  }
  return Begun;
}

bool isWithoutGap(ReceivedEvents const &Events) {
  std::uint64_t Next = 0;
  return std::all_of(Events.begin(), Events.end(),
                     [&](auto const &Event) { return Event.first == ++Next; });
}

/// Reads the streams to their ends, and checks that each holds the events of
/// one software version without a gap, and only such as follow what the client
/// had.
Ended readToEnds(VersionedFleet &Fleet, std::deque<StreamClient> &Begun) {
  Ended Seen;
  for (auto &Client : Begun) {
    auto const AskedAt = readClock();
    Client.readToEnd();
    ++(Client.isComplete() ? Seen.Complete_ : Seen.Aborted_);
    auto const Events = Client.events();
    CHECK(isWithoutGap(Events));
    CHECK(std::all_of(Events.begin(), Events.end(), [&](auto const &Event) {
      return Event.second == Events.begin()->second;
    }));
    CHECK((Client.isComplete() || readClock() - AskedAt < AbortTime));
    CHECK((!Client.isComplete() ||
           Events.size() == VersionedFleet::StreamLength));
  }
  for (auto const &[AttemptId, Runs] : Fleet.runsFromStart())
    CHECK(Runs <= 1);
  return Seen;
}

void addServers(VersionedFleet &Fleet, std::string const &Version) {
  for (std::string const Number : {"-1", "-2", "-3"})
    Fleet.addServer(Version + Number, Version);
}

} // namespace

// Guards against joining two runs: the next instance got the request as the
// client had sent it, and began the stream anew.
TEST_CASE(
    "A begun stream that is passed on goes on after its last event and at "
    "its software version") {
  VersionedFleet Fleet(3, VersionedFleet::Stop::Waits);
  addServers(Fleet, "v1");
  if (GENERATE(false, true))
    addServers(Fleet, "v2");
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("to one of several instances") {
    Fleet.cut(0, Cut::Resets);
    Fleet.breakStreams();
    CHECK(readToEnds(Fleet, Begun).Complete_ == Streams);
  }
  SECTION("to a second one, as the first is cut off too") {
    Fleet.cut(0, Cut::Resets);
    Fleet.cut(1, Cut::Resets);
    Fleet.breakStreams();
    CHECK(readToEnds(Fleet, Begun).Complete_ >= Streams / 2);
  }
  SECTION("where the client had taken it up") {
    auto const Last = std::to_string(VersionedFleet::EventsBeforeStop);
    for (auto &Client : Begun)
      Client.reset();
    Fleet.cut(0, Cut::Resets);
    for (auto const &Client : Begun) {
      StreamClient Again(Fleet.instance(0), Client.attemptId() + "-again",
                         Client.attemptId(), Last);
      Again.readToEnd();
      auto Events = Client.events();
      Events.merge(Again.events());
      CHECK(Again.isComplete());
      CHECK(isWithoutGap(Events));
      CHECK(Events.rbegin()->second == Events.begin()->second);
    }
  }
}

TEST_CASE(
    "A begun stream is aborted at once where no instance reaches a server "
    "of its software version") {
  VersionedFleet Fleet(2, VersionedFleet::Stop::Waits);
  addServers(Fleet, "v1");
  Fleet.startInstances();
  auto Begun = beginStreams(Fleet, 0);
  SECTION("servers of another version have replaced all") {
    addServers(Fleet, "v2");
    for (std::string const Id : {"v1-1", "v1-2", "v1-3"})
      Fleet.removeServer(Id);
    Fleet.awaitList();
  }
  SECTION("all instances are cut off") { Fleet.cut(1, Cut::Resets); }
  Fleet.cut(0, Cut::Resets);
  Fleet.breakStreams();
  CHECK(readToEnds(Fleet, Begun).Aborted_ == Streams);
}
