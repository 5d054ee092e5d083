#include <LibTraffic/LinkMonitor.h>
#include <LibTraffic/PeerRoutes.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Known = 3;
ServerId const First("s1");
ServerId const Second("s2");

struct Fixture {
  /// Probes some servers, of which that many accept a connection.
  void probe(std::size_t Reached) {
    REQUIRE(Link_.isProbeDue(Known, Now_));
    Link_.onProbeStarted(Known);
    CHECK_FALSE(Link_.isProbeDue(Known, Now_));
    for (std::size_t Index = 0; Index < Known; ++Index)
      Link_.onProbed(Index < Reached, Now_);
  }

  LinkMonitor Link_;
  TimePoint Now_{seconds(100)};
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "A link is cut when failures follow without a contact "
                 "and no server accepts a connection") {
  Link_.onContact(Now_);
  Link_.onFailure(First);
  Link_.onFailure(First);
  CHECK_FALSE(Link_.isProbeDue(Known, Now_));
  Link_.onFailure(Second);
  auto const Reached = GENERATE(0U, 1U);
  probe(Reached);
  CHECK((Link_.state() == LinkState::Cut) == (Reached == 0));
}

TEST_CASE_METHOD(Fixture, "A crash of one server between answers of others is "
                          "not suspicious") {
  Link_.onFailure(First);
  Link_.onContact(Now_);
  Link_.onFailure(Second);
  CHECK_FALSE(Link_.isProbeDue(Known, Now_));
  // It is, where only one server is known.
  CHECK(Link_.isProbeDue(1, Now_));
}

TEST_CASE_METHOD(Fixture, "A server that is silent for a second is no cut") {
  Link_.onSent(First, Now_);
  Now_ += LinkMonitor::SuspiciousSilence - milliseconds(1);
  CHECK_FALSE(Link_.isProbeDue(Known, Now_));
  SECTION("while another answers") {
    Link_.onContact(Now_);
    Now_ += milliseconds(500);
    CHECK_FALSE(Link_.isProbeDue(Known, Now_));
  }
  SECTION("while it accepts connections") {
    Now_ += milliseconds(500);
    probe(1);
    CHECK(Link_.state() == LinkState::Up);
  }
  SECTION("but all that accept none are") {
    Now_ += milliseconds(500);
    probe(0);
    CHECK(Link_.state() == LinkState::Cut);
    // It is probed until one is reached.
    probe(1);
    CHECK(Link_.state() == LinkState::Up);
  }
  SECTION("after the attempt has ended") {
    Link_.onWaitEnded(First);
    Now_ += seconds(5);
    CHECK_FALSE(Link_.isProbeDue(Known, Now_));
  }
}

TEST_CASE("Requests are passed to the nearest instance that has not refused") {
  PeerRoutes Routes({DataCentre("a-1"),
                     {{DataCentre("a-1"), "a"},
                      {DataCentre("a-2"), "a"},
                      {DataCentre("b-1"), "b"}}},
                    7);
  ServiceName const Desk("desk");
  TimePoint const Now{seconds(100)};
  CHECK_FALSE(Routes.choose(Desk, {}, Now));
  Routes.setPeers(
      {{InstanceId("far"), DataCentre("b-1"), {"10.0.0.3", 7501}},
       {InstanceId("near"), DataCentre("a-2"), {"10.0.0.2", 7501}},
       {InstanceId("here"), DataCentre("a-1"), {"10.0.0.1", 7501}}});
  CHECK(Routes.choose(Desk, {}, Now)->Id_ == ServerId("here"));
  CHECK(
      Routes.choose(Desk, {incarnationOf(*Routes.choose(Desk, {}, Now))}, Now)
          ->Id_ == ServerId("near"));
  Routes.onRefused(Desk, ServerId("here"), Now);
  Routes.onRefused(Desk, ServerId("near"), Now);
  CHECK(Routes.choose(Desk, {}, Now)->Endpoint_ == Endpoint{"10.0.0.3", 7501});
  CHECK(Routes.choose(ServiceName("other"), {}, Now)->Id_ == ServerId("here"));
  CHECK(Routes.choose(Desk, {}, Now + seconds(1))->Id_ == ServerId("here"));
}
