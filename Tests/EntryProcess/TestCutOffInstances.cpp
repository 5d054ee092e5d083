#include "CuttableFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From the beginning of a cut until its callers are served like the others.
constexpr seconds SettlingTime{3};
/// The longest time that a refusal may take of a request that no one can serve.
constexpr seconds RefusalTime{1};

struct Served {
  unsigned Asked_ = 0;
  unsigned Answered_ = 0;
};

/// Sends reads and orders to the instance for Time, each once and with a path
/// of its own.
Served sendFor(CuttableFleet &Fleet, std::size_t Instance, Duration Time,
               std::string const &Phase) {
  Served Seen;
  for (auto const End = readClock() + Time; readClock() < End;) {
    auto const Name = Phase + "-" + std::to_string(Instance) + "-" +
                      std::to_string(++Seen.Asked_);
    auto const Status =
        Seen.Asked_ % 2 == 0
            ? Fleet.instance(Instance).send("GET", "/read/" + Name).Status_
            : Fleet.instance(Instance).send("POST", "/order/" + Name).Status_;
    Seen.Answered_ += Status == 200 ? 1 : 0;
  }
  return Seen;
}

/// Counts the orders that ran more than once.
std::size_t repeatedOrders(CuttableFleet &Fleet) {
  auto const Runs = Fleet.runsByPath();
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(), [](auto const &Path) {
        return Path.first.starts_with("/order/") && Path.second > 1;
      }));
}

} // namespace

TEST_CASE("Callers of instances that are cut off from all servers are served "
          "like others") {
  auto const How = GENERATE(Cut::Resets, Cut::Hangs, Cut::RefusesNew);
  auto const CutOff =
      GENERATE(std::set<std::size_t>{0}, std::set<std::size_t>{0, 1, 2});
  CAPTURE(static_cast<int>(How), CutOff.size());
  CuttableFleet Fleet(4);
  for (auto const Instance : CutOff)
    sendFor(Fleet, Instance, milliseconds(300), "before");
  for (auto const Instance : CutOff)
    Fleet.cut(Instance, How);
  for (auto const Instance : CutOff)
    sendFor(Fleet, Instance, SettlingTime / CutOff.size(), "cut");
  for (auto const Instance : CutOff) {
    auto const Seen = sendFor(Fleet, Instance, milliseconds(500), "settled");
    CHECK(Seen.Answered_ == Seen.Asked_);
    CHECK(Seen.Asked_ > 5);
  }
  for (auto const Instance : CutOff)
    Fleet.cut(Instance, Cut::None);
  for (auto const Instance : CutOff) {
    auto const Seen = sendFor(Fleet, Instance, seconds(1), "healed");
    CHECK(Seen.Answered_ == Seen.Asked_);
  }
  CHECK(repeatedOrders(Fleet) == 0);
}

TEST_CASE("Callers are refused at once when all instances are cut off") {
  CuttableFleet Fleet(2);
  for (std::size_t Instance = 0; Instance < 2; ++Instance)
    Fleet.cut(Instance, Cut::Resets);
  for (std::size_t Instance = 0; Instance < 2; ++Instance)
    sendFor(Fleet, Instance, seconds(2), "cut");
  for (std::size_t Instance = 0; Instance < 2; ++Instance) {
    auto const AskedAt = readClock();
    CHECK(Fleet.instance(Instance).send("POST", "/order/x").Status_ == 503);
    CHECK(readClock() - AskedAt < RefusalTime);
  }
}
