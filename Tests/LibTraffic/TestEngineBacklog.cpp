#include <LibTraffic/EngineBacklog.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ServerId const Server("s@1");
constexpr RequestWork Work{12000, 5000, 400};
TimePoint const Start{seconds(1000)};

} // namespace

TEST_CASE(
    "A request counts as unread until its first event and as memory until "
    "its end") {
  EngineBacklog Backlog;
  Backlog.onSent(Server, Work);
  CHECK(Backlog.load(Server, Start).UnreadTokens_ == 7000);
  CHECK(Backlog.load(Server, Start).MemoryTokens_ == 12400);
  Backlog.onRead(Server, Work);
  CHECK(Backlog.load(Server, Start).UnreadTokens_ == 0);
  CHECK(Backlog.load(Server, Start).MemoryTokens_ == 12400);
  Backlog.onEnded(Server, Work, EngineBacklog::Progress::Read);
  CHECK(Backlog.load(Server, Start) == EngineBacklog::Load());
}

TEST_CASE("A request that ends before its first event leaves nothing") {
  EngineBacklog Backlog;
  Backlog.onSent(Server, Work);
  Backlog.onEnded(Server, Work, EngineBacklog::Progress::Unread);
  CHECK(Backlog.load(Server, Start) == EngineBacklog::Load());
  CHECK(Backlog.report(Start).empty());
}

TEST_CASE("The work of other instances is added to this one's") {
  EngineBacklog Backlog;
  Backlog.onSent(Server, Work);
  auto const Reported = Backlog.report(Start);
  REQUIRE(Reported.size() == 1);
  CHECK(Reported.front().UnreadTokens_ == 7000);
  Backlog.onSum({{Server, 10000, 20000, 0}}, Start);
  CHECK(Backlog.load(Server, Start).UnreadTokens_ == 10000);
  SECTION("what is sent since the report adds to it") {
    Backlog.onSent(Server, Work);
    CHECK(Backlog.load(Server, Start).UnreadTokens_ == 17000);
  }
  SECTION("sums that are too old are not used") {
    CHECK(Backlog.load(Server, Start + seconds(10)).UnreadTokens_ == 7000);
  }
  SECTION("a server without work is not in the sum") {
    Backlog.onSum({}, Start);
    CHECK(Backlog.load(Server, Start).UnreadTokens_ == 7000);
  }
}

TEST_CASE("A sum that does not hold this instance's last report yet takes "
          "nothing below zero") {
  EngineBacklog Backlog;
  Backlog.onSent(Server, Work);
  Backlog.report(Start);
  Backlog.onSum({{Server, 100, 100, 0}}, Start);
  CHECK(Backlog.load(Server, Start).UnreadTokens_ == 7000);
}

TEST_CASE("What requests prefer a server for is reported as a rate") {
  EngineBacklog Backlog;
  auto Now = Start;
  Backlog.report(Now);
  std::uint64_t Rate = 0;
  for (int Period = 0; Period < 50; ++Period) {
    Backlog.onPreferred(Server, Work);
    Now += milliseconds(500);
    Rate = Backlog.report(Now).front().PreferredPerSecond_;
  }
  CHECK(Rate == Approx(14000).epsilon(0.01));
}
