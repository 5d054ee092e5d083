#include "EntryFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using std::chrono::seconds;

/// By then every instance keeps to a limit that a server has stated.
constexpr seconds SettlingTime{3};
constexpr seconds Window{4};
constexpr double WindowTolerance = 1.5;
constexpr double WindowSlack = 5.0;

double allowedInWindow(double RequestsPerSecond) {
  return WindowTolerance * RequestsPerSecond *
             static_cast<double>(Window.count()) +
         WindowSlack;
}

/// Returns the most arrivals within any Window from From on.
std::size_t mostInWindow(std::vector<TimePoint> const &Arrivals,
                         TimePoint From) {
  std::size_t Most = 0;
  for (auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), From);
       First != Arrivals.end(); ++First) {
    auto const End = std::lower_bound(First, Arrivals.end(), *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

/// Sends to the instances in turn for Time and returns the answers' statuses.
std::vector<int> sendFor(EntryFleet &Fleet, Duration Time) {
  std::vector<int> Statuses;
  for (auto const End = readClock() + Time; readClock() < End;)
    Statuses.push_back(
        Fleet.instance(Statuses.size() % Fleet.instances())
            .send(Statuses.size() % 2 == 0 ? "GET" : "POST",
                  Statuses.size() % 2 == 0 ? "/read/x" : "/order/x")
            .Status_);
  return Statuses;
}

} // namespace

TEST_CASE("A server that states a rate limit gets no more than that from all "
          "instances, and the others get the rest") {
  EntryFleet Fleet(8, 4, {});
  Fleet.setRateLimit(0, "2.2");
  Fleet.setRateLimit(1, "0.7");
  auto const Stated = readClock();
  auto const Statuses = sendFor(Fleet, SettlingTime + 2 * Window);
  CHECK(std::all_of(Statuses.begin(), Statuses.end(),
                    [](int Status) { return Status == 200; }));
  CHECK(static_cast<double>(mostInWindow(
            Fleet.arrivals(0), Stated + SettlingTime)) <= allowedInWindow(2.2));
  CHECK(static_cast<double>(mostInWindow(
            Fleet.arrivals(1), Stated + SettlingTime)) <= allowedInWindow(0.7));
}
