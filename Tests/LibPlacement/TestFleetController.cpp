#include "CloudFixture.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::controller;
using std::chrono::seconds;
using test::CloudFixture;

TEST_CASE_METHOD(
    CloudFixture,
    "Desired servers are started once and spread over data centres") {
  acquireLease(1);
  advance(seconds(30));
  CHECK(running() == 6);
  CHECK(runningWithout("a") >= 3);
  CHECK(runningWithout("b") >= 3);
  advance(seconds(300));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(CloudFixture, "Without the lease nothing is called") {
  advance(seconds(30));
  CHECK(Calls_ == 0);
  acquireLease(1);
  advance(seconds(30));
  loseLease();
  auto const Before = Calls_;
  Cloud_.reclaimSite(DataCentre("a"));
  notifyDepartures();
  advance(seconds(30));
  CHECK(Calls_ == Before);
}

TEST_CASE_METHOD(CloudFixture, "A lease that is not renewed stops the calls") {
  acquireLease(1);
  advance(seconds(30));
  IsRenewing_ = false;
  Cloud_.reclaimSite(DataCentre("a"));
  advance(seconds(10));
  auto const Before = Calls_;
  notifyDepartures();
  advance(seconds(30));
  CHECK(Calls_ == Before);
}

TEST_CASE_METHOD(CloudFixture, "No order reaches the cloud before its record") {
  bool &Fault = GENERATE(true, false) ? Store_.IsDown_ : Store_.IsReadOnly_;
  Fault = true;
  acquireLease(1);
  advance(seconds(30));
  CHECK(Cloud_.Started_.empty());
  Fault = false;
  advance(seconds(30));
  CHECK(running() == 6);
}

TEST_CASE_METHOD(
    CloudFixture,
    "A new holder completes starts that its predecessor only recorded") {
  Cloud_.IsDown_ = true;
  acquireLease(1);
  advance(seconds(10));
  REQUIRE(recorded().Orders_.size() == 6);
  Cloud_.IsDown_ = false;
  restart();
  acquireLease(2);
  advance(seconds(30));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(
    CloudFixture,
    "A new holder completes starts whose answers were not recorded") {
  Cloud_.LosesAnswers_ = true;
  acquireLease(1);
  advance(seconds(10));
  REQUIRE(Cloud_.Started_.size() == 6);
  for (auto const &Order : recorded().Orders_)
    REQUIRE(Order.State_ == OrderState::Requested);
  Cloud_.LosesAnswers_ = false;
  restart();
  acquireLease(2);
  advance(seconds(30));
  CHECK(Cloud_.Started_.size() == 6);
  for (auto const &Order : recorded().Orders_)
    CHECK(Order.State_ == OrderState::Started);
}

TEST_CASE_METHOD(CloudFixture,
                 "Lost answers to record writes start no extra servers") {
  Store_.LostAnswers_ = 3;
  acquireLease(1);
  advance(seconds(60));
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(CloudFixture,
                 "A paused holder starts no extra servers when it resumes") {
  acquireLease(1);
  advance(seconds(30));
  FleetController Old = Controller_;
  restart();
  acquireLease(2);
  Cloud_.reclaimSite(DataCentre("a"));
  notifyDepartures();
  advance(seconds(60));
  auto const Before = Cloud_.Started_.size();
  // Worst case: the old holder still assumes that its lease is valid.
  std::swap(Controller_, Old);
  notifyDepartures();
  acquireLease(1);
  advance(seconds(5));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == Before);
}

TEST_CASE_METHOD(CloudFixture, "Refused starts go elsewhere and are retried") {
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable}};
  acquireLease(1);
  advance(seconds(60));
  CHECK(running() == 6);
  CHECK(runningWithout("b") >= 3);
  auto const InitialRefusals = Cloud_.Refusals_;
  CHECK(InitialRefusals > 0);
  advance(seconds(600));
  CHECK(Cloud_.Refusals_ < InitialRefusals + 20);
  CHECK(running() == 6);

  SECTION("everywhere") {
    Cloud_.refuseAllStarts();
    Cloud_.reclaimSite(DataCentre("b"));
    notifyDepartures();
    advance(seconds(60));
    CHECK(running() == 3);
    Cloud_.Refused_.clear();
    advance(seconds(700));
    CHECK(running() >= 6);
  }
}

TEST_CASE_METHOD(CloudFixture, "A server that cannot be replaced is kept") {
  acquireLease(1);
  advance(seconds(30));
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable},
                     {DataCentre("a"), CapacityType::OnDemand}};
  setDesiredServers(4);
  advance(seconds(60));
  CHECK(Drained_.empty());
  CHECK(running() >= 7);
}

TEST_CASE_METHOD(CloudFixture, "Reclaimed servers are replaced at the notice") {
  acquireLease(1);
  advance(seconds(30));
  Cloud_.reclaimSite(DataCentre("a"));
  notifyDepartures();
  advance(seconds(10));
  CHECK(running() >= 6);
}

TEST_CASE_METHOD(CloudFixture, "Surplus servers are drained, then stopped") {
  acquireLease(1);
  advance(seconds(30));
  setDesiredServers(1);
  advance(seconds(30));
  CHECK(Drained_.size() == 4);
  CHECK(running() == 6);
  advance(seconds(60));
  CHECK(running() == 2);
  CHECK(runningWithout("a") == 1);
  CHECK(recorded().Orders_.size() == 2);
}

TEST_CASE_METHOD(CloudFixture,
                 "A service without desired servers is left alone") {
  setDesiredServers(0);
  acquireLease(1);
  advance(seconds(60));
  CHECK(Cloud_.Started_.empty());
}

TEST_CASE_METHOD(
    CloudFixture,
    "Reclaimable servers replace on-demand ones once starts succeed again") {
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable}};
  acquireLease(1);
  advance(seconds(30));
  introduceStarted();
  CHECK(running(CapacityType::OnDemand) == 3);
  Cloud_.Refused_.clear();
  advance(seconds(60));
  // The replacements run, but no server is stopped until they serve.
  CHECK(running(CapacityType::Reclaimable) == 6);
  CHECK(Drained_.empty());
  introduceStarted();
  advance(seconds(120));
  CHECK(running(CapacityType::OnDemand) == 0);
  CHECK(running() == 6);
}

TEST_CASE_METHOD(
    CloudFixture,
    "A fenced order of an earlier lease does not release the new one") {
  acquireLease(5);
  advance(seconds(30));
  feed(EngineOrderEnded{"s1/0/chat/4", 4, EngineOrderOutcome::Fenced});
  advance(seconds(5));
  CHECK(ReleasedLeases_ == 0);
}

TEST_CASE_METHOD(CloudFixture, "A fenced order releases the lease") {
  introduce("s1");
  acquireLease(1);
  advance(seconds(5));
  REQUIRE(!EngineOrders_.empty());
  Outcome_ = EngineOrderOutcome::Fenced;
  restart();
  acquireLease(2);
  advance(seconds(5));
  CHECK(ReleasedLeases_ == 1);
  CHECK(Calls_ > 0);
}
