#include "RateLimitedFleet.h"

#include <RateLimits/RateLimitWindow.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace laburnum;
using laburnum::rate_limits::allowedInWindow;
using laburnum::rate_limits::RateLimitedFleet;
using laburnum::rate_limits::SettlingTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkWithin(RateLimitedFleet const &Fleet, std::size_t Server,
                 double RequestsPerSecond, TimePoint From,
                 std::set<std::size_t> const &Excused = {}) {
  CAPTURE(Server, RequestsPerSecond);
  CHECK(static_cast<double>(Fleet.mostInWindow(Server, From, Excused)) <=
        allowedInWindow(RequestsPerSecond));
}

/// Server 2 is in the same region as server 0 and has no limit.
void checkServerZeroIsUnlimited(RateLimitedFleet const &Fleet, TimePoint From) {
  CHECK(static_cast<double>(Fleet.arrivals(0, From)) >=
        0.7 * static_cast<double>(Fleet.arrivals(2, From)));
}

} // namespace

TEST_CASE("A rate limited server gets what it accepts from all instances, no "
          "more and hardly less, and the others get the rest") {
  auto const Instances = GENERATE(std::size_t(1), 8, 77);
  auto const Limit = GENERATE(0.3, 1.6, 2.25, 12.0);
  auto const Seed = GENERATE(range(1U, 4U));
  CAPTURE(Instances, Limit, Seed);
  RateLimitedFleet Fleet({Instances, 4, 400.0 / static_cast<double>(Instances),
                          milliseconds(300), Seed});
  Fleet.pass(seconds(1));
  Fleet.state(0, Limit);
  Fleet.state(1, Limit);
  auto const Settled = Fleet.Now_ + SettlingTime;
  Fleet.pass(seconds(43));
  for (std::size_t Server : {0, 1}) {
    checkWithin(Fleet, Server, Limit, Settled);
    CHECK(static_cast<double>(Fleet.arrivals(Server, Settled)) >=
          0.8 * Limit * 40.0 - 1.0);
  }
  CHECK(Fleet.Refusals_.empty());
}

TEST_CASE("When all servers are at their rate limits, their capacity is used "
          "and the rest is refused at once") {
  auto const Instances = GENERATE(std::size_t(1), 8, 77);
  auto const Limit = GENERATE(1.6, 8.0);
  CAPTURE(Instances, Limit);
  constexpr std::size_t Servers = 9;
  RateLimitedFleet Fleet({Instances, Servers,
                          200.0 / static_cast<double>(Instances),
                          milliseconds(300), 1});
  for (std::size_t Server = 0; Server < Servers; ++Server)
    Fleet.state(Server, Limit);
  auto const Settled = Fleet.Now_ + SettlingTime;
  Fleet.pass(SettlingTime);
  Fleet.Refusals_.clear();
  Fleet.pass(seconds(20));
  std::size_t Sum = 0;
  for (std::size_t Server = 0; Server < Servers; ++Server) {
    checkWithin(Fleet, Server, Limit, Settled);
    Sum += Fleet.arrivals(Server, Settled);
  }
  CHECK(static_cast<double>(Sum) >= 0.8 * Limit * Servers * 20.0);
  REQUIRE_FALSE(Fleet.Refusals_.empty());
  auto const Waited = std::count_if(
      Fleet.Refusals_.begin(), Fleet.Refusals_.end(),
      [](auto const &Refusal) { return Refusal.Waited_ > Duration(0); });
  CHECK(static_cast<double>(Waited) <=
        0.02 * static_cast<double>(Fleet.Refusals_.size()));
  for (auto const &Refusal : Fleet.Refusals_) {
    CHECK(Refusal.RetryAfter_ >= milliseconds(200));
    CHECK(Refusal.RetryAfter_ <= milliseconds(7500));
  }
}

TEST_CASE("Rate limits are used where the requests are") {
  constexpr std::size_t Servers = 9;
  RateLimitedFleet Fleet({8, Servers, 4.0, milliseconds(300), 1,
                          rate_limits::DemandReports::Exchanged});
  Fleet.setDemand(3, 30.0);
  for (std::size_t Server = 0; Server < Servers; ++Server)
    Fleet.state(Server, 8.0);
  Fleet.pass(SettlingTime);
  auto const Settled = Fleet.Now_;
  Fleet.Refusals_.clear();
  Fleet.Served_ = 0;
  Fleet.pass(seconds(20));
  for (std::size_t Server = 0; Server < Servers; ++Server)
    checkWithin(Fleet, Server, 8.0, Settled);
  // 58 requests a second of 72 that the servers accept.
  CHECK(static_cast<double>(Fleet.Refusals_.size()) <=
        0.02 * static_cast<double>(Fleet.Served_));
}

TEST_CASE("A server that changes its rate limit gets what it accepts now") {
  auto const Instances = GENERATE(std::size_t(1), 8, 77);
  CAPTURE(Instances);
  RateLimitedFleet Fleet({Instances, 3, 300.0 / static_cast<double>(Instances),
                          milliseconds(300), 2});
  Fleet.state(0, 12.0);
  Fleet.pass(seconds(8));
  SECTION("lowered") {
    Fleet.state(0, 1.5);
    auto const Settled = Fleet.Now_ + SettlingTime;
    Fleet.pass(seconds(13));
    checkWithin(Fleet, 0, 1.5, Settled);
  }
  SECTION("lowered to nothing and lifted") {
    Fleet.state(0, 0.0);
    auto const Settled = Fleet.Now_ + SettlingTime;
    Fleet.pass(seconds(13));
    checkWithin(Fleet, 0, 0.0, Settled);
    Fleet.state(0, std::nullopt);
    Fleet.pass(seconds(30));
    auto const Lifted = Fleet.Now_;
    Fleet.pass(seconds(5));
    checkServerZeroIsUnlimited(Fleet, Lifted);
  }
  SECTION("lifted and stated again") {
    Fleet.state(0, std::nullopt);
    Fleet.pass(seconds(3));
    auto const Lifted = Fleet.Now_;
    Fleet.pass(seconds(3));
    checkServerZeroIsUnlimited(Fleet, Lifted);
    Fleet.state(0, 2.2);
    auto const Settled = Fleet.Now_ + SettlingTime;
    Fleet.pass(seconds(13));
    checkWithin(Fleet, 0, 2.2, Settled);
  }
  SECTION("raised") {
    Fleet.state(0, 24.0);
    Fleet.pass(seconds(3));
    auto const Raised = Fleet.Now_;
    Fleet.pass(seconds(10));
    CHECK(static_cast<double>(Fleet.arrivals(0, Raised)) >= 0.8 * 24.0 * 10.0);
    checkWithin(Fleet, 0, 24.0, Raised);
  }
}

TEST_CASE("A rate limit holds while instances restart, leave and are cut "
          "off") {
  auto const Instances = GENERATE(std::size_t(8), 77);
  auto const Limit = GENERATE(0.7, 2.2, 10.0);
  CAPTURE(Instances, Limit);
  RateLimitedFleet Fleet({Instances, 4, 400.0 / static_cast<double>(Instances),
                          milliseconds(300), 3});
  Fleet.state(0, Limit);
  Fleet.pass(SettlingTime);
  auto const Settled = Fleet.Now_;
  std::set<std::size_t> Excused;
  SECTION("restarts in turn") {
    for (std::size_t Each = 0; Each < Instances / 2; ++Each) {
      Fleet.restart(Each);
      Excused.insert(Each);
      Fleet.pass(milliseconds(500));
    }
  }
  SECTION("leave in turn") {
    for (std::size_t Each = 0; Each < Instances / 2; ++Each) {
      Fleet.remove(Each);
      Fleet.pass(milliseconds(500));
    }
  }
  SECTION("cut apart and joined") {
    for (std::size_t Each = 0; Each < Instances / 2; ++Each)
      Excused.insert(Each);
    for (int Turn = 0; Turn < 3; ++Turn) {
      Fleet.cut(Excused);
      Fleet.pass(seconds(4));
      Fleet.cut({});
      Fleet.pass(seconds(2));
    }
    Excused.clear();
  }
  checkWithin(Fleet, 0, Limit, Settled, Excused);
  CHECK(Fleet.Refusals_.empty());
}

TEST_CASE("An instance that missed a change of a rate limit learns of it") {
  RateLimitedFleet Fleet({77, 3, 4.0, milliseconds(300), 4});
  Fleet.state(0, 2.2);
  Fleet.pass(SettlingTime);
  Fleet.loseMessages(true);
  Fleet.state(0, std::nullopt);
  Fleet.pass(seconds(3));
  Fleet.loseMessages(false);
  Fleet.pass(seconds(20));
  auto const Repaired = Fleet.Now_;
  Fleet.pass(seconds(5));
  checkServerZeroIsUnlimited(Fleet, Repaired);
}

TEST_CASE("Answers that overtake each other neither lift a rate limit nor "
          "state it again") {
  ServerRateLimiter Limiter(1);
  TimePoint const Now{seconds(1000)};
  ServerId const Server("s@1");
  Limiter.setFleet({"a", {{"a"}}, 1}, Now);
  CHECK(Limiter.onStated(Server, 2.2, Now) == RateLimitChange::Changed);
  CHECK(Limiter.onNotStated(Server, Now - milliseconds(300),
                            Now + milliseconds(100)) == RateLimitChange::None);
  CHECK(Limiter.isLimited(Server));
  CHECK(Limiter.onPeerLimit(
            {Server, RateLimitState::Lifted, 0, milliseconds(400)},
            Now + milliseconds(300)) == RateLimitChange::None);
  CHECK(Limiter.onNotStated(Server, Now + seconds(1), Now + seconds(2)) ==
        RateLimitChange::Changed);
  CHECK_FALSE(Limiter.isLimited(Server));
  CHECK(Limiter.onPeerLimit(
            {Server, RateLimitState::InForce, 2200000, milliseconds(1500)},
            Now + seconds(2)) == RateLimitChange::None);
  CHECK(Limiter.maySend(Server, Now + seconds(2)));
}

TEST_CASE("A later incarnation of a server has no rate limit of the former "
          "one") {
  ServerRoster Roster({DataCentre("a"), {}}, 1);
  TimePoint const Now{seconds(1000)};
  ServerRecord Server;
  Server.Id_ = ServerId("s");
  Server.IncarnationStartMilliseconds_ = 1;
  Server.Service_ = ServiceName("writer");
  Roster.update(Server);
  Roster.rateLimiter().onStated(incarnationOf(Server), 0.0, Now);
  CHECK_FALSE(Roster.choose({Server.Service_, {}, {}}, Now));
  Server.IncarnationStartMilliseconds_ = 2;
  Roster.update(Server);
  CHECK(Roster.choose({Server.Service_, {}, {}}, Now));
}

TEST_CASE("Extreme rate limits are kept") {
  ServerRateLimiter Limiter(1);
  TimePoint const Now{seconds(1000)};
  ServerId const Server("s@1");
  Limiter.setFleet({"a", {{"a"}, {"b"}}, 2}, Now);
  for (auto const Limit : {1e300, 1e9, 5e-324, 0.0}) {
    Limiter.onStated(Server, Limit, Now);
    CHECK(Limiter.tokensAt(Server, Now + seconds(60)) >= 0.0);
    CHECK(Limiter.limits(Now).size() == 1);
  }
}

TEST_CASE("A rate limit that no answer states any more is dropped in the end") {
  ServerRateLimiter Limiter(1);
  TimePoint const Now{seconds(1000)};
  ServerId const Server("s@1");
  RateLimitFleet const Fleet{"a", {{"b"}, {"c"}}, 3};
  Limiter.setFleet(Fleet, Now);
  Limiter.onStated(Server, 0.0, Now);
  CHECK_FALSE(Limiter.maySend(Server, Now + std::chrono::minutes(9)));
  Limiter.setFleet(Fleet, Now + std::chrono::minutes(10));
  CHECK(Limiter.maySend(Server, Now + std::chrono::minutes(10)));
  CHECK(Limiter.limits(Now + std::chrono::minutes(10)).empty());
}
