#include "CloudFixture.h"

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::controller;
using std::chrono::seconds;
using test::CloudFixture;

TEST_CASE_METHOD(CloudFixture, "Desired servers are started once, spread") {
  gain(1);
  run(seconds(30));
  CHECK(running() == 6);
  CHECK(afterLosing("a") >= 3);
  CHECK(afterLosing("b") >= 3);
  run(seconds(300));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(CloudFixture, "Without the lease nothing is called") {
  run(seconds(30));
  CHECK(Calls_ == 0);
  gain(1);
  run(seconds(30));
  lose();
  auto const Before = Calls_;
  Cloud_.reclaim(DataCentre("a"));
  notifyDepartures();
  run(seconds(30));
  CHECK(Calls_ == Before);
}

TEST_CASE_METHOD(CloudFixture, "A lease that is not renewed stops the calls") {
  gain(1);
  run(seconds(30));
  IsRenewing_ = false;
  Cloud_.reclaim(DataCentre("a"));
  run(seconds(10));
  auto const Before = Calls_;
  notifyDepartures();
  run(seconds(30));
  CHECK(Calls_ == Before);
}

TEST_CASE_METHOD(CloudFixture, "No order reaches the cloud before its record") {
  bool &Fault = GENERATE(true, false) ? Store_.IsDown_ : Store_.IsReadOnly_;
  Fault = true;
  gain(1);
  run(seconds(30));
  CHECK(Cloud_.Started_.empty());
  Fault = false;
  run(seconds(30));
  CHECK(running() == 6);
}

TEST_CASE_METHOD(CloudFixture,
                 "A holder that died before the start is heired") {
  Cloud_.IsDown_ = true;
  gain(1);
  run(seconds(10));
  REQUIRE(recorded().Orders_.size() == 6);
  Cloud_.IsDown_ = false;
  restart();
  gain(2);
  run(seconds(30));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(CloudFixture,
                 "One that died before recording the answer too") {
  Cloud_.LosesAnswers_ = true;
  gain(1);
  run(seconds(10));
  REQUIRE(Cloud_.Started_.size() == 6);
  for (auto const &One : recorded().Orders_)
    REQUIRE(One.State_ == OrderState::Requested);
  Cloud_.LosesAnswers_ = false;
  restart();
  gain(2);
  run(seconds(30));
  CHECK(Cloud_.Started_.size() == 6);
  for (auto const &One : recorded().Orders_)
    CHECK(One.State_ == OrderState::Started);
}

TEST_CASE_METHOD(CloudFixture, "Lost answers of record writes start no more") {
  Store_.LostAnswers_ = 3;
  gain(1);
  run(seconds(60));
  CHECK(Cloud_.Started_.size() == 6);
}

TEST_CASE_METHOD(CloudFixture, "A paused holder that wakes starts no more") {
  gain(1);
  run(seconds(30));
  FleetController Old = Controller_;
  restart();
  gain(2);
  Cloud_.reclaim(DataCentre("a"));
  notifyDepartures();
  run(seconds(60));
  auto const Before = Cloud_.Started_.size();
  // The old one still believes in a proven time, at its worst.
  std::swap(Controller_, Old);
  notifyDepartures();
  gain(1);
  run(seconds(5));
  CHECK(running() == 6);
  CHECK(Cloud_.Started_.size() == Before);
}

TEST_CASE_METHOD(CloudFixture, "Refused starts go elsewhere and are retried") {
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable}};
  gain(1);
  run(seconds(60));
  CHECK(running() == 6);
  CHECK(afterLosing("b") >= 3);
  auto const InitialRefusals = Cloud_.Refusals_;
  CHECK(InitialRefusals > 0);
  run(seconds(600));
  CHECK(Cloud_.Refusals_ < InitialRefusals + 20);
  CHECK(running() == 6);

  SECTION("everywhere") {
    Cloud_.refuseAll();
    Cloud_.reclaim(DataCentre("b"));
    notifyDepartures();
    run(seconds(60));
    CHECK(running() == 3);
    Cloud_.Refused_.clear();
    run(seconds(700));
    CHECK(running() >= 6);
  }
}

TEST_CASE_METHOD(CloudFixture, "Who cannot replace a server keeps it") {
  gain(1);
  run(seconds(30));
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable},
                     {DataCentre("a"), CapacityType::OnDemand}};
  desire(4);
  run(seconds(60));
  CHECK(Drained_.empty());
  CHECK(running() >= 7);
}

TEST_CASE_METHOD(CloudFixture, "Reclaimed servers are replaced at the notice") {
  gain(1);
  run(seconds(30));
  Cloud_.reclaim(DataCentre("a"));
  notifyDepartures();
  run(seconds(10));
  CHECK(running() >= 6);
}

TEST_CASE_METHOD(CloudFixture, "Surplus is drained, then stopped") {
  gain(1);
  run(seconds(30));
  desire(1);
  run(seconds(30));
  CHECK(Drained_.size() == 4);
  CHECK(running() == 6);
  run(seconds(60));
  CHECK(running() == 2);
  CHECK(afterLosing("a") == 1);
  CHECK(recorded().Orders_.size() == 2);
}

TEST_CASE_METHOD(CloudFixture, "A service without desired servers is let be") {
  desire(0);
  gain(1);
  run(seconds(60));
  CHECK(Cloud_.Started_.empty());
}

TEST_CASE_METHOD(CloudFixture, "What refusals made dear becomes cheap again") {
  Cloud_.Refused_ = {{DataCentre("a"), CapacityType::Reclaimable}};
  gain(1);
  run(seconds(30));
  introduceStarted();
  CHECK(running(CapacityType::OnDemand) == 3);
  Cloud_.Refused_.clear();
  run(seconds(60));
  // The replacements run, but nothing is given up until they serve.
  CHECK(running(CapacityType::Reclaimable) == 6);
  CHECK(Drained_.empty());
  introduceStarted();
  run(seconds(120));
  CHECK(running(CapacityType::OnDemand) == 0);
  CHECK(running() == 6);
}

TEST_CASE_METHOD(CloudFixture, "An old order's refusal keeps the new lease") {
  gain(5);
  run(seconds(30));
  feed(EngineOrderEnded{"s1/0/chat/4", 4, EngineOrderOutcome::Fenced});
  run(seconds(5));
  CHECK(ReleasedLeases_ == 0);
}

TEST_CASE_METHOD(CloudFixture, "A fenced order gives the lease up") {
  introduce("s1");
  gain(1);
  run(seconds(5));
  REQUIRE(!EngineOrders_.empty());
  Outcome_ = EngineOrderOutcome::Fenced;
  restart();
  gain(2);
  run(seconds(5));
  CHECK(ReleasedLeases_ == 1);
  CHECK(Calls_ > 0);
}
