#include "EntryFleet.h"

#include <RateLimits/RateLimitWindow.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

using rate_limits::allowedInWindow;
using rate_limits::mostInWindow;
using rate_limits::SettlingTime;
using rate_limits::Window;
using std::chrono::seconds;

/// Checks the requests that arrived at the server from From on.
void checkWithin(EntryFleet &Fleet, std::size_t Server,
                 double RequestsPerSecond, TimePoint From) {
  auto Arrivals = Fleet.arrivals(Server);
  std::erase_if(Arrivals, [&](TimePoint At) { return At < From; });
  CHECK(static_cast<double>(mostInWindow(Arrivals)) <=
        allowedInWindow(RequestsPerSecond));
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
  checkWithin(Fleet, 0, 2.2, Stated + SettlingTime);
  checkWithin(Fleet, 1, 0.7, Stated + SettlingTime);
}

TEST_CASE("When every server is at its rate limit, callers are refused at once "
          "and told when to come back") {
  EntryFleet Fleet(8, 2, {});
  Fleet.setRateLimit(0, "3");
  Fleet.setRateLimit(1, "3");
  sendFor(Fleet, SettlingTime);
  auto const Statuses = sendFor(Fleet, 2 * Window);
  auto const Served = std::count(Statuses.begin(), Statuses.end(), 200);
  auto const Refused = std::count(Statuses.begin(), Statuses.end(), 503);
  CHECK(static_cast<std::size_t>(Served + Refused) == Statuses.size());
  CHECK(Served >= 34); // Of 2 x 3 x 8 s.
  // Had each waited for half its latency target, there would be 40.
  CHECK(Refused >= 400);
  auto const Answer = Fleet.instance(0).send("GET", "/read/x");
  CHECK((Answer.Status_ == 200 || !Answer.RetryAfter_.empty()));
}

TEST_CASE("An instance that starts learns the rate limits of servers from its "
          "peers") {
  EntryFleet Fleet(3, 2, {});
  Fleet.setRateLimit(0, "1");
  sendFor(Fleet, seconds(1));
  Fleet.instance(2).start();
  Fleet.instance(2).process().awaitLine("server_limited");
  Fleet.instance(2).process().awaitLine("source=\"a peer\"");
}

TEST_CASE("An unreadable rate limit neither limits a server nor lifts its "
          "limit") {
  EntryFleet Fleet(2, 2, {});
  Fleet.setRateLimit(0, "soon");
  sendFor(Fleet, seconds(1));
  CHECK(Fleet.arrivals(0).size() > 50);
  Fleet.setRateLimit(0, "1.5");
  sendFor(Fleet, seconds(1));
  Fleet.setRateLimit(0, "-3");
  auto const Changed = readClock();
  sendFor(Fleet, SettlingTime + Window);
  checkWithin(Fleet, 0, 1.5, Changed);
  CHECK(Fleet.instance(0).process().hasWritten("outcome=unreadable"));
}

TEST_CASE("A server whose rate limit is lifted gets its share again") {
  EntryFleet Fleet(3, 2, {});
  Fleet.setRateLimit(0, "2");
  sendFor(Fleet, SettlingTime);
  Fleet.setRateLimit(0, std::nullopt);
  sendFor(Fleet, seconds(4));
  auto const Before = Fleet.arrivals(0).size();
  sendFor(Fleet, seconds(1));
  CHECK(Fleet.arrivals(0).size() - Before > 50);
}
