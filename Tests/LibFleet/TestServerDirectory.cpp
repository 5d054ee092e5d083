#include <LibFleet/ServerDirectory.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::servers;

namespace {

ServerId const Id("s1");
constexpr TimePoint Start{};

std::vector<Member> members(std::size_t Count) {
  std::vector<Member> Made(Count);
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Made[Each].Instance_.Id_ = InstanceId("i" + std::to_string(Each));
    Made[Each].Instance_.Peers_.Port_ = static_cast<std::uint16_t>(Each + 1);
  }
  return Made;
}

ObjectsApplied applied(Version At) {
  return {{{{ObjectKind::Server, Id.text()}, At, false, "{}"}}};
}

struct Fixture {
  Fixture() : Directory_({members(1).front().Instance_, 1, 8}) {
    handle(servers::MembersChanged{members(100)});
    handle(applied(5));
  }

  /// Returns the number of messages sent to peers.
  std::size_t handle(Event const &Event, TimePoint Now = Start) {
    std::size_t Messages = 0;
    for (auto const &Each : Directory_.handle(Event, Now)) {
      if (auto const *Sent = std::get_if<SendToPeer>(&Each)) {
        ++Messages;
        Last_ = std::get<ServerLeavingNotice>(Sent->Message_);
      }
    }
    return Messages;
  }

  Liveness state() const {
    auto const Found = Directory_.departures()->find(Id);
    return Found == Directory_.departures()->end() ? Liveness::Live
                                                   : Found->second.Liveness_;
  }

  ServerDirectory Directory_;
  ServerLeavingNotice Last_;
};

NoticeReceived notice() { return {{Id.text(), {}, std::chrono::seconds(30)}}; }

} // namespace

TEST_CASE_METHOD(Fixture,
                 "Any first observation stops new work and is gossiped once") {
  Event const Observation = GENERATE(
      Event(notice()), Event(ServerRefused{Id}),
      Event(NoticeFromPeer{{Id, Liveness::Leaving, Duration(9), 5}}),
      Event(servers::InstancesListed{{{}, {{Id, Liveness::Leaving}}}}));
  CHECK(handle(Observation) == 8);
  CHECK(state() == Liveness::Leaving);
  CHECK(handle(Observation) == 0);
}

TEST_CASE_METHOD(Fixture, "A stale list does not override a notice") {
  handle(notice());
  handle(servers::InstancesListed{{{}, {{Id, Liveness::Live}}}});
  CHECK(state() == Liveness::Leaving);
  CHECK(Last_.Remaining_ == std::chrono::seconds(30));
}

TEST_CASE_METHOD(Fixture, "Only a server that was listed is gone by absence") {
  handle(servers::InstancesListed{{{}, {}}});
  CHECK(state() == Liveness::Live);
  handle(servers::InstancesListed{{{}, {{Id, Liveness::Live}}}});
  handle(servers::InstancesListed{{{}, {}}});
  CHECK(state() == Liveness::Gone);
}

TEST_CASE_METHOD(Fixture, "A leaving server is gone when its time is over") {
  handle(notice());
  handle(servers::TimePassed{}, Start + std::chrono::seconds(29));
  CHECK(state() == Liveness::Leaving);
  handle(servers::TimePassed{}, Start + std::chrono::seconds(30));
  CHECK(state() == Liveness::Gone);
}

TEST_CASE_METHOD(Fixture, "A refusal keeps work away only during its hold") {
  servers::Settings const Defaults;
  handle(ServerRefused{Id});
  CHECK(state() == Liveness::Leaving);
  handle(servers::TimePassed{}, Start + Defaults.RefusalHold_ - Duration(1));
  CHECK(state() == Liveness::Leaving);
  handle(servers::TimePassed{}, Start + Defaults.RefusalHold_);
  CHECK(state() == Liveness::Live);
}

TEST_CASE_METHOD(Fixture,
                 "A refusal confirmed by another observation does not expire") {
  handle(ServerRefused{Id});
  handle(NoticeFromPeer{{Id, Liveness::Leaving, Duration(0), 5, {}}});
  handle(ServerRefused{Id});
  handle(servers::TimePassed{}, Start + std::chrono::hours(1));
  CHECK(state() == Liveness::Leaving);
}

TEST_CASE_METHOD(
    Fixture,
    "A refusal reported by a peer is held no longer than a local one") {
  servers::Settings const Defaults;
  handle(NoticeFromPeer{
      {Id, Liveness::Leaving, Duration(0), 5, std::chrono::hours(1)}});
  CHECK(state() == Liveness::Leaving);
  handle(servers::TimePassed{}, Start + Defaults.RefusalHold_);
  CHECK(state() == Liveness::Live);
}

TEST_CASE_METHOD(Fixture, "A notice whose time was over is ignored") {
  handle(NoticeReceived{{Id.text(), {}, Duration(-1)}});
  CHECK(state() == Liveness::Live);
  handle(NoticeReceived{{Id.text(), {}, Duration(0)}});
  CHECK(state() != Liveness::Live);
}

TEST_CASE_METHOD(Fixture, "A server returns only at a higher version") {
  handle(notice());
  handle(applied(5));
  CHECK(state() == Liveness::Leaving);
  handle(applied(6));
  CHECK(state() == Liveness::Live);
  handle(NoticeFromPeer{{Id, Liveness::Gone, Duration(0), 5}});
  CHECK(state() == Liveness::Live);
  handle(NoticeFromPeer{{Id, Liveness::Gone, Duration(0), 6}});
  CHECK(state() == Liveness::Gone);
}

TEST_CASE_METHOD(Fixture,
                 "A rewrite of the same change does not bring a server back") {
  auto Rewritten = applied(9);
  Rewritten.Objects_.front().ChangeVersion_ = 5;
  auto Changed = applied(12);
  Changed.Objects_.front().ChangeVersion_ = 10;
  handle(notice());
  handle(Rewritten);
  CHECK(state() == Liveness::Leaving);
  handle(Changed);
  CHECK(state() == Liveness::Live);
}

TEST_CASE_METHOD(Fixture, "A notice from before a rewrite applies after it") {
  auto Rewritten = applied(9);
  Rewritten.Objects_.front().ChangeVersion_ = 5;
  handle(Rewritten);
  handle(NoticeFromPeer{{Id, Liveness::Leaving, Duration(9), 5}});
  CHECK(state() == Liveness::Leaving);
}

TEST_CASE_METHOD(Fixture, "A notice for an entry instance is not a server's") {
  CHECK(handle(NoticeReceived{{"i7", {}, Duration(1)}}) == 0);
  CHECK(Directory_.departures()->empty());
}

TEST_CASE_METHOD(Fixture, "A starting instance is notified of departures") {
  handle(notice());
  auto Fewer = members(8);
  CHECK(handle(servers::MembersChanged{Fewer}) == 0);
  Fewer.push_back(members(101).back());
  CHECK(handle(servers::MembersChanged{Fewer},
               Start + std::chrono::seconds(10)) == 1);
  CHECK(Last_.Server_ == Id);
  CHECK(Last_.Remaining_ == std::chrono::seconds(20));
  CHECK(handle(servers::MembersChanged{Fewer}) == 0);
}

TEST_CASE_METHOD(Fixture, "A few instances notify one that returns") {
  handle(notice());
  std::size_t Notices = 0;
  for (std::size_t Each = 0; Each < 100; ++Each) {
    ServerDirectory One({members(100)[Each].Instance_, 1, 8});
    One.handle(notice(), Start);
    auto Without = members(100);
    Without.pop_back();
    One.handle(servers::MembersChanged{Without}, Start);
    Notices += One.handle(servers::MembersChanged{members(100)}, Start).size();
  }
  CHECK(Notices == 8);
}

TEST_CASE_METHOD(Fixture, "A local observation is gossiped for as long as a "
                          "partition may go undetected") {
  std::size_t const Count = handle(notice());
  CHECK(handle(servers::TimePassed{}, Start + std::chrono::seconds(1)) ==
        Count);
  CHECK(Last_.Server_ == Id);
  CHECK(handle(servers::TimePassed{}, Start + std::chrono::seconds(6)) ==
        Count);
  CHECK(handle(servers::TimePassed{}, Start + std::chrono::seconds(8)) == 0);
}

TEST_CASE_METHOD(Fixture, "A notice from a peer is forwarded once") {
  CHECK(handle(NoticeFromPeer{{Id, Liveness::Leaving, Duration(9), 5}}) > 0);
  CHECK(handle(servers::TimePassed{}, Start + std::chrono::seconds(1)) == 0);
}

TEST_CASE("An observation from before a server was known may concern its "
          "predecessor") {
  ServerDirectory Directory({members(1).front().Instance_, 1, 8});
  auto const Observation =
      GENERATE(as<Event>(), NoticeReceived{{Id.text(), {}, {}}},
               NoticeFromPeer{{Id, Liveness::Gone, {}, 0}});
  Directory.handle(Observation, Start);
  Directory.handle(applied(7), Start + std::chrono::seconds(4));
  CHECK(Directory.departures()->at(Id).HoldUntil_);
  Directory.handle(servers::TimePassed{}, Start + std::chrono::seconds(31));
  CHECK(Directory.departures()->empty());
}

TEST_CASE(
    "An observation from before a server was known stays once confirmed") {
  ServerDirectory Directory({members(1).front().Instance_, 1, 8});
  Directory.handle(NoticeReceived{{Id.text(), {}, std::chrono::seconds(60)}},
                   Start);
  Directory.handle(applied(7), Start + std::chrono::seconds(4));
  Directory.handle(servers::TimePassed{}, Start + std::chrono::seconds(61));
  CHECK(Directory.departures()->contains(Id));
  InstanceListing Listing;
  Listing.Servers_.push_back({Id, Liveness::Leaving});
  Directory.handle(servers::InstancesListed{Listing},
                   Start + std::chrono::seconds(62));
  Directory.handle(servers::TimePassed{}, Start + std::chrono::seconds(200));
  CHECK(Directory.departures()->contains(Id));
}

TEST_CASE("Observations of two servers of one name are not combined") {
  ServerDirectory Directory({members(1).front().Instance_, 1, 8});
  Directory.handle(
      NoticeFromPeer{{Id, Liveness::Leaving, {}, 7, std::chrono::seconds(20)}},
      Start);
  Directory.handle(NoticeFromPeer{{Id, Liveness::Gone, {}, 1}}, Start);
  Directory.handle(applied(7), Start);
  Directory.handle(servers::TimePassed{}, Start + std::chrono::seconds(21));
  CHECK(Directory.departures()->empty());
}
