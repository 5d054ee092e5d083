#include "StreamChecks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <deque>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using std::chrono::milliseconds;
using Partition = VersionedFleet::Partition;
using Stop = VersionedFleet::Stop;

/// By then others read the store for those that are cut off from it.
constexpr std::chrono::seconds BeginTime{20};

/// Sends requests to an instance for this time.
void sendFor(VersionedFleet &Fleet, std::size_t Instance, Duration Time) {
  for (auto const End = readClock() + Time; readClock() < End;)
    StreamClient(Fleet.instance(Instance), "meanwhile").readEvents(1);
}

/// Begins streams at an instance until some have begun at the version.
std::deque<StreamClient> beginAt(VersionedFleet &Fleet, std::size_t Instance,
                                 std::string const &Version) {
  auto const Prefix = "at-" + std::to_string(Instance) + "-round-";
  std::deque<StreamClient> Begun;
  auto const End = readClock() + BeginTime;
  for (int Round = 0; readClock() < End; ++Round) {
    // The servers have no room for the streams of two rounds.
    Begun.clear();
    Begun = beginStreams(Fleet, Instance, Prefix + std::to_string(Round) + "-");
    if (std::any_of(Begun.begin(), Begun.end(), [&](auto const &Client) {
          return versionsOf(Client.events()).contains(Version);
        }))
      return Begun;
  }
  FAIL("no stream begins at " + Version);
  return Begun;
}

struct PartitionedFleet : VersionedFleet {
  PartitionedFleet() : VersionedFleet(5, Stop::Waits) {
    addServer("v1-1", "v1");
    addServer("v1-2", "v1");
    startInstances();
  }

  void joinSecondVersion() {
    addServer("v2-1", "v2");
    addServer("v2-2", "v2");
  }
};

} // namespace

// Guards against a stream of a new version that goes on at the old one, as what
// was heard shortly before a cut is taken for the present state.
TEST_CASE("An instance that lost its peers and the store just before a new "
          "software version joined continues no stream of that version at the "
          "old one") {
  auto const Links =
      GENERATE(Partition::Whole, Partition::ButOne, Partition::SendsOnly,
               Partition::HearsOnly, Partition::Store);
  auto const Lead = GENERATE(milliseconds(100), milliseconds(900));
  CAPTURE(static_cast<int>(Links), Lead.count());
  PartitionedFleet Fleet;
  for (std::size_t const CutOff : {3, 4})
    Fleet.partition(CutOff, Links);
  sendFor(Fleet, 0, Lead);
  Fleet.joinSecondVersion();
  auto const Begun = beginAt(Fleet, 0, "v2");
  for (std::size_t const CutOff : {3, 4})
    countTakenUp(Fleet, CutOff, Begun);
  for (std::size_t const CutOff : {3, 4})
    Fleet.partition(CutOff, Partition::None);
  auto const Later = beginAt(Fleet, 1, "v2");
  countTakenUp(Fleet, 3, Later);
}

TEST_CASE("Streams are taken up again at an instance that reaches only the "
          "store, or only its peers") {
  PartitionedFleet Fleet;
  auto const Links = GENERATE(Partition::OthersOnly, Partition::Store);
  bool const IsMixed = GENERATE(false, true);
  CAPTURE(static_cast<int>(Links), IsMixed);
  if (IsMixed) {
    Fleet.joinSecondVersion();
    Fleet.awaitList();
  }
  Fleet.partition(1, Links);
  auto const Begun = beginStreams(Fleet, 0);
  if (IsMixed)
    awaitRecord(Fleet, Begun);
  CHECK(countTakenUp(Fleet, 1, Begun) >= Streams / 2);
}
