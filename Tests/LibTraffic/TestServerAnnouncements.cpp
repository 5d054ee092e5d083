#include <LibTraffic/AdmissionQueue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceName const Writer("writer");
constexpr Duration Step = milliseconds(50);

ServerRecord server(std::size_t Number) {
  ServerRecord Made;
  Made.Id_ = ServerId("s" + std::to_string(Number));
  Made.IncarnationStartMilliseconds_ = 1;
  Made.Service_ = Writer;
  Made.Endpoint_ = {"10.0.0.1", static_cast<std::uint16_t>(Number + 1)};
  Made.Slots_ = 24;
  return Made;
}

/// Instances that share the same servers, each with requests in every step.
/// Requests are answered in the step in which they arrive at a server.
struct Fleet {
  struct Arrival {
    TimePoint At_;
    std::size_t Instance_;
    ServerRecord Server_;
  };

  Fleet(std::size_t Instances, std::size_t Servers) {
    for (std::size_t Each = 0; Each < Servers; ++Each)
      Listed_.push_back(server(Each));
    for (std::size_t Each = 0; Each < Instances; ++Each) {
      Rosters_.push_back(
          std::make_unique<ServerRoster>(Geography{DataCentre("a"), {}}, Each));
      Rosters_.back()->replaceAll(Listed_);
    }
  }

  /// Sends requests for Time and calls Say for each answer of the server Asked.
  template <typename Function>
  void pass(Duration Time, ServerId const &Asked, Function Say) {
    for (auto const End = Now_ + Time; Now_ < End; Now_ += Step) {
      for (std::size_t Each = 0; Each < Rosters_.size(); ++Each)
        for (int Request = 0; Request < 3; ++Request)
          if (auto const Chosen =
                  Rosters_[Each]->choose({Writer, {}, {}}, Now_)) {
            Rosters_[Each]->onSent(*Chosen, Now_);
            Arrivals_.push_back({Now_, Each, *Chosen});
          }
      for (auto const &One : Arrivals_) {
        if (One.At_ != Now_)
          continue;
        if (One.Server_.Id_ == Asked)
          Say(*Rosters_[One.Instance_]);
        Rosters_[One.Instance_]->onEnded(One.Server_, AttemptHealth::Worked,
                                         Now_);
      }
    }
  }

  std::size_t arrivals(std::size_t Instance, ServerId const &Server,
                       TimePoint From, TimePoint To) const {
    return static_cast<std::size_t>(std::count_if(
        Arrivals_.begin(), Arrivals_.end(), [&](Arrival const &One) {
          return One.Instance_ == Instance && One.Server_.Id_ == Server &&
                 One.At_ > From && One.At_ < To;
        }));
  }

  std::vector<ServerRecord> Listed_;
  std::vector<std::unique_ptr<ServerRoster>> Rosters_;
  std::vector<Arrival> Arrivals_;
  TimePoint Now_{};
};

} // namespace

TEST_CASE("A server that announces that it is leaving gets no new requests "
          "from notified instances, whatever the list says later") {
  auto const Count = GENERATE(std::size_t(1), 8, 77);
  Fleet Fleet(Count, 4);
  auto const Leaving = server(2);
  std::set<ServerRoster *> Notified;
  Fleet.pass(seconds(1), Leaving.Id_, [&](ServerRoster &Roster) {
    CHECK(Roster.onLeaving(incarnationOf(Leaving), Fleet.Now_) ==
          Notified.insert(&Roster).second);
  });
  REQUIRE(Notified.size() == Count);
  auto const From = Fleet.Now_;
  for (auto &Roster : Fleet.Rosters_) {
    SECTION("listed as ready") { Roster->update(Leaving); }
    SECTION("lapsed and listed again") {
      Roster->remove(Leaving.Id_);
      Roster->update(Leaving);
    }
    SECTION("missing from one list and in the next") {
      Roster->replaceAll({server(0)});
      Roster->replaceAll(Fleet.Listed_);
    }
  }
  Fleet.pass(seconds(3), Leaving.Id_, [](ServerRoster &) {});
  for (std::size_t Each = 0; Each < Count; ++Each)
    CHECK(Fleet.arrivals(Each, Leaving.Id_, From - Step, Fleet.Now_) == 0);
  // A later incarnation of the server is not affected.
  auto Restarted = Leaving;
  Restarted.IncarnationStartMilliseconds_ = 2;
  for (auto &Roster : Fleet.Rosters_)
    Roster->update(Restarted);
  Fleet.pass(seconds(1), ServerId(), [](ServerRoster &) {});
  for (std::size_t Each = 0; Each < Count; ++Each)
    CHECK(Fleet.arrivals(Each, Leaving.Id_, From, Fleet.Now_) > 0);
}

TEST_CASE("A server that requests a backoff gets no requests during it, even "
          "if its list entry lapses") {
  auto const Count = GENERATE(std::size_t(1), 8, 77);
  Fleet Fleet(Count, 4);
  auto const Busy = server(1);
  constexpr Duration Pause = milliseconds(2500);
  std::set<ServerRoster *> Asked;
  auto const Say = [&](ServerRoster &Roster) {
    if (Asked.insert(&Roster).second)
      Roster.onBackoffRequested(incarnationOf(Busy), Pause, Fleet.Now_);
  };
  Fleet.pass(milliseconds(500), Busy.Id_, Say);
  REQUIRE(Asked.size() == Count);
  auto const BackoffStart = Fleet.Now_;
  Fleet.pass(seconds(1), Busy.Id_, Say);
  for (auto &Roster : Fleet.Rosters_) {
    Roster->remove(Busy.Id_);
    Roster->update(Busy);
  }
  Fleet.pass(milliseconds(900), Busy.Id_, Say);
  for (std::size_t Each = 0; Each < Count; ++Each)
    CHECK(Fleet.arrivals(Each, Busy.Id_, BackoffStart, Fleet.Now_) == 0);
  Fleet.pass(seconds(2), Busy.Id_, Say);
  for (std::size_t Each = 0; Each < Count; ++Each)
    CHECK(Fleet.arrivals(Each, Busy.Id_, BackoffStart, Fleet.Now_) > 0);
}

TEST_CASE("When every server requests a backoff, requests are rejected at once "
          "with a jittered Retry-After") {
  ServerRoster Roster({DataCentre("a"), {}}, 1);
  AdmissionQueue Queue(Roster);
  TimePoint const Now{seconds(1000)};
  Roster.replaceAll({server(0), server(1)});
  Roster.onBackoffRequested(incarnationOf(server(0)), seconds(4), Now);
  Roster.onBackoffRequested(incarnationOf(server(1)), seconds(2), Now);
  std::set<Duration> RetryDelays;
  for (std::uint64_t Ticket = 1; Ticket <= 50; ++Ticket) {
    auto const Outcomes =
        Queue.add({Ticket, {Writer, {}, {}}, 0, Now + seconds(1)}, Now);
    REQUIRE(Outcomes.size() == 1);
    auto const Rejection = std::get<Rejected>(Outcomes.front());
    CHECK(Rejection.RetryAfter_ >= seconds(2));
    CHECK(Rejection.RetryAfter_ <= seconds(3));
    RetryDelays.insert(Rejection.RetryAfter_);
  }
  CHECK(RetryDelays.size() > 40);
  SECTION("a backoff that ends in time is waited for") {
    CHECK(Queue.add({99, {Writer, {}, {}}, 0, Now + seconds(3)}, Now).empty());
    CHECK(Queue.advance(Now + milliseconds(1900)).empty());
    CHECK(Queue.advance(Now + seconds(2)).size() == 1);
  }
  SECTION("a server that joins takes requests") {
    Roster.update(server(2));
    auto const Outcomes =
        Queue.add({99, {Writer, {}, {}}, 0, Now + seconds(1)}, Now);
    REQUIRE(Outcomes.size() == 1);
    CHECK(std::holds_alternative<Admitted>(Outcomes.front()));
  }
}

TEST_CASE("A burst at all instances opens no more connections to a server than "
          "it accepts from all") {
  auto const [Instances, Limit] = GENERATE(
      table<std::size_t, std::uint32_t>({{1, 10}, {8, 110}, {77, 520}}));
  CAPTURE(Instances, Limit);
  TimePoint const Now{seconds(1000)};
  std::uint32_t Running = 0;
  for (std::size_t Each = 0; Each < Instances; ++Each) {
    ServerRoster Roster({DataCentre("a"), {}}, Each);
    Roster.setConnectionLimits({{Writer, Limit}});
    Roster.setRegistered(Instances);
    Roster.update(server(0));
    while (auto const Chosen = Roster.choose({Writer, {}, {}}, Now)) {
      Roster.onSent(*Chosen, Now);
      ++Running;
    }
  }
  CHECK(Running <= Limit);
  CHECK(Running >= std::min(Limit, static_cast<std::uint32_t>(
                                       Instances * server(0).Slots_)) /
                       2);
}

TEST_CASE("Each instance may open a connection, however few a server accepts") {
  ServerRoster Roster({DataCentre("a"), {}}, 1);
  Roster.setConnectionLimits({{Writer, 20}});
  Roster.setRegistered(300);
  Roster.update(server(0));
  CHECK(Roster.choose({Writer, {}, {}}, TimePoint(seconds(1000))));
}
