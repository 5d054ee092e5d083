#include <LibTraffic/AdmissionQueue.h>
#include <LibTraffic/WindowedRetryBudget.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceName const Writer("writer");
TimePoint const Start{seconds(1000)};

ServerRecord server(std::string const &Name, std::string const &Centre = "a-1",
                    std::uint32_t Slots = 2) {
  ServerRecord Made;
  Made.Id_ = ServerId(Name);
  Made.IncarnationStartMilliseconds_ = 1;
  Made.Service_ = Writer;
  Made.DataCentre_ = DataCentre(Centre);
  Made.Endpoint_ = {"10.0.0.1", 80};
  Made.Slots_ = Slots;
  return Made;
}

/// The server's next incarnation.
ServerRecord restarted(ServerRecord Server) {
  ++Server.IncarnationStartMilliseconds_;
  return Server;
}

Geography const TestGeography{DataCentre("a-1"),
                              {{DataCentre("a-1"), "a"},
                               {DataCentre("a-2"), "a"},
                               {DataCentre("b-1"), "b"}}};

std::vector<ServerRecord> sixServers() {
  std::vector<ServerRecord> Servers;
  for (int Place = 0; Place < 6; ++Place)
    Servers.push_back(server("s" + std::to_string(Place), "a-1", 24));
  return Servers;
}

struct Fixture {
  std::string choose(ServerQuery Query = {Writer, {}, {}}) {
    auto const Chosen = Roster_.choose(Query, Now_);
    return Chosen ? Chosen->Id_.text() : "";
  }

  ServerRoster Roster_{TestGeography, 1};
  TimePoint Now_ = Start;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A leaving server gets no new requests") {
  Roster_.replaceAll({server("x")});
  REQUIRE(choose() == "x");
  SECTION("by the list") {
    auto Leaving = server("x");
    Leaving.Phase_ = ServerPhase::Draining;
    Roster_.update(Leaving);
  }
  SECTION("gone from the list") { Roster_.replaceAll({}); }
  SECTION("reported by the server") {
    Roster_.onLeaving(incarnationOf(server("x")), Now_);
    // An outdated list entry does not reinstate it.
    Roster_.update(server("x"));
  }
  CHECK(choose().empty());
}

TEST_CASE_METHOD(Fixture, "A restarted server is a new incarnation") {
  Roster_.replaceAll({server("x")});
  Roster_.onLeaving(incarnationOf(server("x")), Now_);
  auto Restarted = server("x");
  Restarted.IncarnationStartMilliseconds_ = 2;
  Roster_.update(Restarted);
  CHECK(choose() == "x");
}

TEST_CASE_METHOD(Fixture, "An incarnation that left is leaving, whatever is "
                          "listed under its identifier later") {
  auto const Left = server("x");
  auto const Next = restarted(Left);
  Roster_.replaceAll({Left});
  REQUIRE_FALSE(Roster_.isLeaving(Left));
  SECTION("after it was reported to leave") {
    Roster_.onLeaving(incarnationOf(Left), Now_);
    REQUIRE(Roster_.isLeaving(Left));
  }
  SECTION("after it vanished from the list") {
    Roster_.remove(Left.Id_);
    REQUIRE(Roster_.isLeaving(Left));
  }
  SECTION("after nothing") {}
  Roster_.update(Next);
  CHECK(Roster_.isLeaving(Left));
  CHECK_FALSE(Roster_.isLeaving(Next));
}

TEST_CASE_METHOD(Fixture, "What attempts at an incarnation that has ended show "
                          "is not applied to the next") {
  auto const Ended = server("x");
  auto const Next = restarted(Ended);
  Roster_.replaceAll({Ended, server("far", "b-1")});
  Roster_.onSent(Ended, Now_);
  Roster_.update(Next);
  REQUIRE(choose() == "x");
  SECTION("a failure") {
    Roster_.onEnded(Ended, AttemptHealth::Failed, Now_);
    CHECK(choose() == "x");
  }
  SECTION("a refusal") {
    Roster_.onEnded(Ended, AttemptHealth::Refused, Now_);
    CHECK(choose() == "x");
  }
  SECTION("an end, which frees no slot") {
    Roster_.onSent(Next, Now_);
    Roster_.onSent(Next, Now_);
    Roster_.onEnded(Ended, AttemptHealth::Unknown, Now_);
    CHECK(Roster_.running(Next.Id_) == 2);
    CHECK(choose() == "far");
  }
  SECTION("an answer, which does not make it reachable") {
    Roster_.onUnreachable(incarnationOf(Next), Now_);
    Roster_.onEnded(Ended, AttemptHealth::Worked, Now_);
    CHECK(choose() == "far");
  }
  SECTION("a load") {
    Roster_.onLoad(Ended, {2, 0, 2}, Now_);
    CHECK(choose() == "x");
  }
  SECTION("a bound of refusals") {
    Roster_.setRegistered(8);
    Roster_.onMaxRefusals(Ended, 1.0);
    Roster_.onSent(Next, Now_);
    CHECK(choose({Writer, {incarnationOf(server("far"))}, {}}) == "x");
  }
  SECTION("a slow first byte") {
    Roster_.onSlowFirstByte(Ended);
    CHECK(choose() == "x");
  }
  SECTION("the end of a wait") {
    Roster_.onSlowFirstByte(Next);
    Roster_.onFirstByteWaitEnded(Ended);
    CHECK(choose() == "far");
  }
}

TEST_CASE_METHOD(Fixture,
                 "Attempts at a server that vanishes from the list and "
                 "returns as the same incarnation still count") {
  Roster_.replaceAll({server("x"), server("far", "b-1")});
  Roster_.onSent(server("x"), Now_);
  Roster_.onSent(server("x"), Now_);
  Roster_.replaceAll({server("far", "b-1")});
  Roster_.replaceAll({server("x"), server("far", "b-1")});
  SECTION("while they are in progress") {
    CHECK(Roster_.running(ServerId("x")) == 2);
    CHECK(choose() == "far");
  }
  SECTION("as one ends, which frees one slot") {
    Roster_.onEnded(server("x"), AttemptHealth::Worked, Now_);
    Roster_.onSent(server("x"), Now_);
    Roster_.onEnded(server("x"), AttemptHealth::Worked, Now_);
    Roster_.onSent(server("x"), Now_);
    CHECK(Roster_.running(ServerId("x")) == 2);
    CHECK(choose() == "far");
  }
}

TEST_CASE_METHOD(Fixture, "Attempts that begin, wait and end while their "
                          "server is not listed count once it is") {
  auto const Near = server("x");
  Roster_.replaceAll({Near, server("far", "b-1")});
  Roster_.onSent(Near, Now_);
  SECTION("one that ended") {
    Roster_.remove(Near.Id_);
    Roster_.onEnded(Near, AttemptHealth::Failed, Now_);
    Roster_.update(Near);
    CHECK(Roster_.running(Near.Id_) == 0);
    CHECK(choose() == "x");
  }
  SECTION("one that was sent") {
    Roster_.remove(Near.Id_);
    Roster_.onSent(Near, Now_);
    Roster_.update(Near);
    CHECK(Roster_.running(Near.Id_) == 2);
    CHECK(choose() == "far");
  }
  SECTION("one that waits long for its first byte") {
    Roster_.onSlowFirstByte(Near);
    Roster_.remove(Near.Id_);
    Roster_.update(Near);
    CHECK(choose() == "far");
    Roster_.remove(Near.Id_);
    Roster_.onFirstByteWaitEnded(Near);
    Roster_.onEnded(Near, AttemptHealth::Worked, Now_);
    Roster_.update(Near);
    CHECK(choose() == "x");
  }
  SECTION("another incarnation was listed meanwhile") {
    Roster_.update(restarted(Near));
    CHECK(Roster_.running(Near.Id_) == 0);
    Roster_.update(Near);
    CHECK(Roster_.running(Near.Id_) == 1);
  }
  SECTION("another incarnation whose start is not known is not concerned") {
    auto const Unknown = [&](std::uint16_t Port) {
      auto Made = Near;
      Made.IncarnationStartMilliseconds_ = 0;
      Made.Endpoint_.Port_ = Port;
      return Made;
    };
    Roster_.update(Unknown(80));
    Roster_.onSent(Unknown(80), Now_);
    Roster_.update(Unknown(81));
    CHECK(Roster_.running(Near.Id_) == 0);
    Roster_.update(Unknown(80));
    CHECK(Roster_.running(Near.Id_) == 1);
  }
}

TEST_CASE_METHOD(
    Fixture, "A failing server is ejected for longer each time and returns") {
  Roster_.replaceAll({server("x"), server("y")});
  Roster_.onSent(server("x"), Now_);
  Roster_.onEnded(server("x"), AttemptHealth::Failed, Now_);
  for (int Turn = 0; Turn < 20; ++Turn)
    CHECK(choose() == "y");
  Now_ += milliseconds(260);
  CHECK(choose({Writer, {incarnationOf(server("y"))}, {}}) == "x");
  Roster_.onEnded(server("x"), AttemptHealth::Failed, Now_);
  Now_ += milliseconds(260);
  CHECK(choose({Writer, {incarnationOf(server("y"))}, {}}).empty());
}

TEST_CASE_METHOD(Fixture,
                 "Requests go to the less loaded server, then to the nearer") {
  Roster_.replaceAll({server("near", "a-1", 10), server("far", "b-1", 10)});
  CHECK(choose() == "near");
  for (int Turn = 0; Turn < 5; ++Turn)
    Roster_.onSent(server("near"), Now_);
  CHECK(choose() == "far");
}

TEST_CASE_METHOD(Fixture, "A server that sends no first byte gets fewer "
                          "requests but remains usable") {
  Roster_.replaceAll({server("dark", "a-1", 24), server("far", "b-1", 24)});
  Roster_.onSent(server("dark"), Now_);
  Roster_.onSlowFirstByte(server("dark"));
  Roster_.onSlowFirstByte(server("dark"));
  CHECK(choose() == "far");
  CHECK(choose({Writer, {incarnationOf(server("far"))}, {}}) == "dark");
  Roster_.onFirstByteWaitEnded(server("dark"));
  Roster_.onFirstByteWaitEnded(server("dark"));
  CHECK(choose() == "dark");
}

TEST_CASE_METHOD(Fixture, "A reported load is valid for a limited time") {
  Roster_.replaceAll({server("x", "a-1", 4), server("y", "b-1", 4)});
  Roster_.onLoad(server("x"), {4, 0, 4}, Now_);
  CHECK(choose() == "y");
  Now_ += seconds(1);
  CHECK(choose() == "x");
}

TEST_CASE_METHOD(Fixture, "Requests with the same prefix go to the same server "
                          "until it is overloaded") {
  auto const Servers = sixServers();
  Roster_.replaceAll(Servers);
  ServerQuery const Query{Writer, {}, "common,thing"};
  auto const First = choose(Query);
  ServerRoster Other(TestGeography, 99);
  Other.replaceAll(Servers);
  CHECK(Other.choose(Query, Now_)->Id_.text() == First);
  // With enough free slots it answers in time, and no other server has to
  // process the prefix; near half full, the others' idle slots outweigh that.
  for (int Turn = 0; Turn < 7; ++Turn)
    Roster_.onSent(server(First), Now_);
  CHECK(choose(Query) == First);
  for (int Turn = 0; Turn < 4; ++Turn)
    Roster_.onSent(server(First), Now_);
  CHECK(choose(Query) != First);
}

TEST_CASE_METHOD(
    Fixture,
    "A prefix stays on its server while all servers are equally loaded") {
  auto const Servers = sixServers();
  Roster_.replaceAll(Servers);
  ServerQuery const Query{Writer, {}, "common,thing"};
  auto const First = choose(Query);
  for (auto const &Server : Servers)
    for (int Turn = 0; Turn < 12; ++Turn)
      Roster_.onSent(Server, Now_);
  CHECK(choose(Query) == First);
}

TEST_CASE_METHOD(Fixture, "Queued requests are admitted by priority") {
  AdmissionQueue Queue(Roster_);
  Roster_.replaceAll({server("x", "a-1", 1)});
  auto const Wait = [&](std::uint64_t Ticket, std::int32_t Rank) {
    return Queue.add({Ticket, {Writer, {}, {}}, Rank, Now_ + milliseconds(500)},
                     Now_);
  };
  REQUIRE(Wait(1, 1).size() == 1);
  CHECK(Wait(2, 1).empty());
  CHECK(Wait(3, 0).empty());
  CHECK(Wait(4, 1).empty());
  CHECK(Queue.advance(Now_).empty());
  Roster_.onEnded(server("x"), AttemptHealth::Worked, Now_);
  auto const Next = Queue.advance(Now_);
  REQUIRE(Next.size() == 1);
  CHECK(std::get<Admitted>(Next.front()).Ticket_ == 3);
}

TEST_CASE_METHOD(
    Fixture,
    "A request whose latest start has passed is rejected with a Retry-After") {
  AdmissionQueue Queue(Roster_);
  Roster_.replaceAll({server("x", "a-1", 1)});
  Roster_.onSent(server("x"), Now_);
  Queue.add({1, {Writer, {}, {}}, 0, Now_ + milliseconds(100)}, Now_);
  Now_ += milliseconds(100);
  auto const Outcome = Queue.advance(Now_);
  REQUIRE(Outcome.size() == 1);
  CHECK(std::get<Rejected>(Outcome.front()).RetryAfter_ > Duration(0));
  CHECK(Queue.size() == 0);
}

TEST_CASE("Retries stay within the bound, over all instances") {
  constexpr int Instances = 8;
  RetryBudgetSettings const Bounds{0.2, 56.0, seconds(10)};
  std::vector<WindowedRetryBudget> Budgets;
  for (int Place = 0; Place < Instances; ++Place) {
    Budgets.emplace_back(Bounds);
    Budgets.back().setShare(1.0 / Instances);
  }
  int Requests = 0;
  int Taken = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    auto const Now = Start + milliseconds(100) * Tick;
    for (auto &Budget : Budgets) {
      Budget.countRequest(Writer, Now);
      ++Requests;
      // Every attempt at the service fails.
      if (Budget.tryTake(Writer, Now))
        ++Taken;
    }
  }
  CHECK(Taken > 0);
  CHECK(Taken <= 0.2 * Requests + 56.0);
  // A single request may be retried as well.
  WindowedRetryBudget Quiet(Bounds);
  Quiet.setShare(1.0 / Instances);
  CHECK(Quiet.tryTake(Writer, Start));
}

TEST_CASE_METHOD(Fixture, "An unreachable server is excluded while the service "
                          "has others, full or not") {
  Roster_.replaceAll({server("x"), server("y")});
  CHECK(Roster_.onUnreachable(incarnationOf(server("x")), Now_));
  CHECK_FALSE(Roster_.onUnreachable(incarnationOf(server("x")), Now_));
  for (int Sent = 0; Sent < 2; ++Sent) {
    REQUIRE(choose() == "y");
    Roster_.onSent(server("y"), Now_);
  }
  CHECK(choose().empty());
  SECTION("but is used if it is the last one") {
    Roster_.remove(ServerId("y"));
    CHECK(choose() == "x");
  }
  SECTION("and after a while") {
    Now_ += seconds(5);
    CHECK(choose() == "x");
    // Each further report doubles the time.
    Roster_.onUnreachable(incarnationOf(server("x")), Now_);
    Now_ += seconds(9);
    CHECK(choose().empty());
    Now_ += seconds(1);
    CHECK(choose() == "x");
  }
  SECTION("until it has answered") {
    Roster_.onEnded(server("x"), AttemptHealth::Worked, Now_);
    CHECK(choose() == "x");
  }
  SECTION("but its next incarnation is not") {
    auto Restarted = server("x");
    Restarted.IncarnationStartMilliseconds_ = 2;
    Roster_.update(Restarted);
    CHECK(choose() == "x");
  }
}

TEST_CASE_METHOD(Fixture, "A server is replaced by a later process of its "
                          "identifier or address only") {
  auto const At = [](std::string const &Name, std::string const &Address,
                     std::int64_t Start) {
    auto Made = server(Name);
    Made.Endpoint_.Host_ = Address;
    Made.IncarnationStartMilliseconds_ = Start;
    return Made;
  };
  auto const Judged = At("x", "10.0.0.1", 5);
  CHECK_FALSE(Roster_.isReplaced(Judged));
  Roster_.replaceAll({Judged, At("y", "10.0.0.2", 9), At("z", "10.0.0.1", 4)});
  CHECK_FALSE(Roster_.isReplaced(Judged));
  SECTION("a later start") {
    Roster_.replaceAll({At("x", "10.0.0.3", 6)});
    CHECK(Roster_.isReplaced(Judged));
  }
  SECTION("another server at its address") {
    Roster_.replaceAll({Judged, At("y", "10.0.0.1", 6)});
    CHECK(Roster_.isReplaced(Judged));
    CHECK_FALSE(Roster_.isReplaced(At("y", "10.0.0.1", 6)));
  }
}
