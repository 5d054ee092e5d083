#include "RelayFleet.h"

#include <catch2/catch.hpp>

#include <random>

using namespace laburnum;
using test::RelayFleet;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which an accepted configuration has to be in force on the
/// strictest deployment.
constexpr Duration ConfigurationBound = milliseconds(2500);
/// The same for deployments of 60 instances and more.
constexpr Duration LargeConfigurationBound = milliseconds(4000);
/// Maximum messages per second of an instance, at any fleet size.
constexpr std::size_t MaxMessagesPerSecond = 15;

/// A fleet that has reached a steady state.
struct Fleet : RelayFleet {
  explicit Fleet(std::size_t Count, std::size_t Centres = 6)
      : RelayFleet(Count, Centres) {
    write("config", "main", "1");
    write("servers", "s1", "1");
    pass(seconds(10));
    REQUIRE(readers().size() == 2);
  }
};

} // namespace

TEST_CASE("A few instances read the store for a fleet of any size") {
  auto const Count = GENERATE(as<std::size_t>(), 1, 2, 3, 8, 23, 77, 295);
  RelayFleet Fleet(Count, 6);
  Fleet.write("config", "main", "1");
  auto const Servers = Fleet.write("servers", "s1", "1");
  Fleet.pass(seconds(10));
  CHECK(Fleet.readers().size() == std::min<std::size_t>(Count, 2));
  CHECK(Fleet.behind("servers", "s1", Servers) == 0);
  std::set<DataCentre> Centres;
  for (auto const Reader : Fleet.readers())
    Centres.insert(Fleet.Instances_[Reader].Self_.DataCentre_);
  CHECK(Centres.size() == std::min<std::size_t>(Count, 2));

  auto const Calls = Fleet.calls();
  for (auto &Entry : Fleet.Instances_)
    Entry.Sent_ = 0;
  Fleet.pass(seconds(30));
  // Each reader makes one call per second, regardless of the fleet's size.
  CHECK(Fleet.calls() - Calls <= std::size_t(2) * 30);
  for (auto const &Entry : Fleet.Instances_)
    CHECK(Entry.Sent_ <= MaxMessagesPerSecond * 30);
}

TEST_CASE("Instances that all start at once make few store calls") {
  auto const Count = GENERATE(as<std::size_t>(), 8, 295);
  RelayFleet Fleet(Count, 6);
  Fleet.write("config", "main", "1");
  auto const Servers = Fleet.write("servers", "s1", "1");
  Fleet.pass(seconds(3));
  CHECK(Fleet.behind("config", "main", 1) == 0);
  CHECK(Fleet.behind("servers", "s1", Servers) == 0);
  // If each instance read the store itself, each would make two list calls and
  // at least two watch calls.
  CHECK(Fleet.calls() <= (Count > 60 ? Count : 4 * Count + 6));
}

TEST_CASE(
    "A change is in force in time when all readers crash at the same time") {
  auto const Count = GENERATE(as<std::size_t>(), 8, 23, 77, 295);
  Fleet Fleet(Count);
  for (auto const Reader : Fleet.readers())
    Fleet.Instances_[Reader].IsRunning_ = false;
  auto const Calls = Fleet.calls();
  auto const Written = Fleet.write("config", "main", "2");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("config", "main", Written) == 0);
  // Fallback readers start one by one, not all at once.
  CHECK(Fleet.calls() - Calls <= std::max<std::size_t>(64, Count / 2));
  Fleet.updateMembers();
  Fleet.pass(seconds(10));
  CHECK(Fleet.readers().size() == 2);
}

TEST_CASE(
    "Broadcast trees include instances known only by a previous incarnation") {
  auto const Count = GENERATE(as<std::size_t>(), 8, 77, 295);
  Fleet Fleet(Count);
  Fleet.restartAll();
  Fleet.pass(seconds(10));
  CHECK(Fleet.readers().size() == 2);
  auto const Calls = Fleet.calls();
  auto const Written = Fleet.write("servers", "s2", "1");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("servers", "s2", Written) == 0);
  Fleet.pass(seconds(20));
  CHECK(Fleet.calls() - Calls <= std::size_t(2) * 30);
}

TEST_CASE("All remaining instances receive changes after most of the fleet was "
          "killed") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 23, 295));
  std::mt19937_64 Generator(GENERATE(1, 2, 3, 4));
  for (auto &Entry : Fleet.Instances_)
    Entry.IsRunning_ = Generator() % 10 >= 6;
  auto const Written = Fleet.write("servers", "s2", "1");
  Fleet.pass(LargeConfigurationBound);
  CHECK(Fleet.behind("servers", "s2", Written) == 0);
}

TEST_CASE("Readers that lose the store are replaced") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 8, 77));
  auto const Lost = GENERATE(as<std::size_t>(), 1, 2);
  auto const Readers = Fleet.readers();
  for (std::size_t Index = 0; Index < Lost; ++Index)
    Fleet.Instances_[Readers[Index]].ReachesStore_ = false;
  auto const Written = Fleet.write("config", "main", "2");
  Fleet.pass(Lost < 2 ? ConfigurationBound : LargeConfigurationBound);
  CHECK(Fleet.behind("config", "main", Written) == 0);
}

TEST_CASE("An instance that its peers do not reach reads the store itself") {
  Fleet Fleet(23);
  std::size_t Alone = 0;
  while (Fleet.Instances_[Alone].Relay_.readerRole() != relay::ReaderRole::None)
    ++Alone;
  Fleet.Instances_[Alone].ReachesPeers_ = false;
  auto const Written = Fleet.write("config", "main", "2");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("config", "main", Written) == 0);
  CHECK(Fleet.Instances_[Alone].Relay_.readerRole() ==
        relay::ReaderRole::Fallback);
  Fleet.Instances_[Alone].ReachesPeers_ = true;
  Fleet.pass(seconds(10));
  CHECK(Fleet.Instances_[Alone].Relay_.readerRole() == relay::ReaderRole::None);
}

TEST_CASE("A partitioned data centre chooses its own readers") {
  Fleet Fleet(77);
  for (auto &Entry : Fleet.Instances_)
    if (Entry.Self_.DataCentre_ != DataCentre("dc2"))
      Entry.IsRunning_ = false;
  auto const Written = Fleet.write("servers", "s2", "1");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("servers", "s2", Written) == 0);
}

TEST_CASE("While the store is down a large fleet retries rarely") {
  Fleet Fleet(295);
  Fleet.IsStoreDown_ = true;
  Fleet.pass(seconds(5));
  auto const Calls = Fleet.calls();
  Fleet.pass(seconds(10));
  // Half a call per second by each instance; a store handles thousands.
  CHECK(Fleet.calls() - Calls <= Fleet.Instances_.size() * 10 / 2);
  Fleet.IsStoreDown_ = false;
  // Machines count as connected three seconds after an outage; a change may
  // follow then.
  Fleet.pass(seconds(3));
  auto const Written = Fleet.write("config", "main", "2");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("config", "main", Written) == 0);
  Fleet.pass(seconds(10));
  CHECK(Fleet.readers().size() == 2);
}

TEST_CASE(
    "A change costs one call and is in force even if its sender crashes") {
  Fleet Fleet(23);
  auto const Calls = Fleet.calls();
  for (int Turn = 0; Turn < 20; ++Turn) {
    Fleet.write("servers", "s2", std::to_string(Turn));
    Fleet.pass(milliseconds(1000));
  }
  // The first reader makes a call for each change, the second reads every two
  // seconds, and each watches the other collection.
  CHECK(Fleet.calls() - Calls <= 50);

  // Right after a change the second reader leaves the next watch to the first.
  auto const Readers = Fleet.readers();
  Fleet.write("servers", "s2", "last");
  Fleet.pass(milliseconds(100));
  Fleet.Instances_[Readers[GENERATE(0, 1)]].IsRunning_ = false;
  auto const Written = Fleet.write("servers", "s3", "1");
  Fleet.pass(ConfigurationBound);
  CHECK(Fleet.behind("servers", "s3", Written) == 0);
}

TEST_CASE("Changes of other collections cause no snapshot requests") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 8, 77));
  auto const Requests = Fleet.Requests_;
  for (int Turn = 0; Turn < 20; ++Turn) {
    Fleet.write("lease", "main", std::to_string(Turn));
    if (Turn % 5 == 0)
      Fleet.write("servers", "s2", std::to_string(Turn));
    Fleet.pass(milliseconds(700));
  }
  CHECK(Fleet.Requests_ == Requests);
}

TEST_CASE("A new instance receives all collections without a store call") {
  Fleet Fleet(77);
  auto const New = Fleet.add("dc1");
  Fleet.updateMembers();
  Fleet.pass(seconds(1));
  CHECK(Fleet.behind("config", "main", 1) == 0);
  CHECK(Fleet.Instances_[New].Calls_ == 0);
}

TEST_CASE("No instance applies an older state whatever is lost or late") {
  std::mt19937_64 Generator(GENERATE(range(1, 9)));
  Fleet Fleet(23);
  Version Last = 0;
  for (int Turn = 0; Turn < 100; ++Turn) {
    auto &Entry = Fleet.Instances_[Generator() % Fleet.Instances_.size()];
    switch (Generator() % 5) {
    case 0:
      Entry.ReachesPeers_ = !Entry.ReachesPeers_;
      break;
    case 1:
      Entry.ReachesStore_ = !Entry.ReachesStore_;
      break;
    case 2:
      Fleet.IsStoreDown_ = !Fleet.IsStoreDown_;
      break;
    default:
      Last = Fleet.write("servers", "s" + std::to_string(Generator() % 4), "x");
    }
    Fleet.pass(milliseconds(100) * (Generator() % 10));
  }
  Fleet.IsStoreDown_ = false;
  for (auto &Entry : Fleet.Instances_)
    Entry.ReachesPeers_ = Entry.ReachesStore_ = true;
  Last = Fleet.write("servers", "last", "1");
  Fleet.pass(seconds(8));
  CHECK(Fleet.behind("servers", "last", Last) == 0);
  CHECK_FALSE(Fleet.HasRegressed_);
}
