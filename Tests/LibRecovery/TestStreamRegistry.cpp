#include <LibRecovery/RegistryFleet.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

namespace {

std::vector<std::string> const Names{"a1", "a2", "b1", "b2", "c1", "c2"};

/// Checks that the caller has every token exactly once, all of one run.
void checkComplete(TestCaller const &Caller) {
  REQUIRE(Caller.IsComplete_);
  REQUIRE(Caller.ReceivedTokens_.size() == Caller.MaxTokens_);
  for (std::size_t Offset = 0; Offset < Caller.ReceivedTokens_.size(); ++Offset)
    REQUIRE(Caller.ReceivedTokens_[Offset].starts_with(std::to_string(Offset) +
                                                       "/"));
  CHECK(Caller.IsExact_);
}

/// Checks in addition that a new caller without tokens receives the same ones.
void checkByteExact(RegistryFleet &Fleet, TestCaller &Caller,
                    std::string const &Anywhere) {
  checkComplete(Caller);
  TestCaller Again{Caller.Key_, Caller.Fingerprint_, Caller.MaxTokens_};
  Fleet.disconnect(Caller);
  Fleet.connect(Again, Anywhere);
  Fleet.runUntilTokens(Again, Again.MaxTokens_);
  CHECK(Again.ReceivedTokens_ == Caller.ReceivedTokens_);
}

/// Reconnects the caller until its stream is complete.
void reconnectUntilComplete(RegistryFleet &Fleet, TestCaller &Caller,
                            std::string const &Through) {
  for (int Tries = 0; Tries < 20 && !Caller.IsComplete_; ++Tries) {
    if (!Caller.IsConnected_)
      Fleet.connect(Caller, Through);
    Fleet.run(seconds(3));
    INFO((Caller.Failure_ ? Caller.Failure_->Error_.Message_ : ""));
  }
}

} // namespace

TEST_CASE("A caller whose connection broke resumes through any instance") {
  auto const *Through = GENERATE("a1", "a2", "c2");
  RegistryFleet Fleet(Names);
  TestCaller Caller;
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 50);
  Fleet.disconnect(Caller);
  Fleet.run(milliseconds(300));
  Fleet.connect(Caller, Through);
  Fleet.runUntilTokens(Caller, 60);
  CHECK(Fleet.generators("key") == std::vector<std::string>{Through});
  Fleet.runUntilTokens(Caller, 200);
  checkByteExact(Fleet, Caller, "b2");
}

TEST_CASE("A stream whose owner crashed resumes from its checkpoint") {
  RegistryFleet Fleet(Names);
  TestCaller Caller{"key", 7, 1000};
  Fleet.connect(Caller, "a1");
  // The connection breaks before the next checkpoint, so that the caller has
  // no tokens that only the owner knew.
  Fleet.runUntilTokens(Caller, 100);
  Fleet.disconnect(Caller);
  Fleet.run(seconds(4));
  Fleet.kill("a1");
  bool const IsNoticed = GENERATE(true, false);
  if (IsNoticed)
    Fleet.setLiveness("a1", Liveness::Gone);
  Fleet.connect(Caller, "c1");
  Fleet.runUntilTokens(Caller, 1000);
  checkByteExact(Fleet, Caller, "a2");
}

TEST_CASE("Tokens lost with their owner are not generated again") {
  RegistryFleet Fleet(Names);
  TestCaller Caller{"key", 7, 1000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 150);
  Fleet.kill("a1");
  Fleet.setLiveness("a1", Liveness::Gone);
  Fleet.connect(Caller, "c1");
  Fleet.run(seconds(2));
  REQUIRE(Caller.Failure_);
  CHECK(Caller.Failure_->Error_.Kind_ == ErrorKind::OutcomeUnknown);
  CHECK(Caller.Failure_->RunState_ == RunState::MayHaveRun);
  CHECK(Caller.ReceivedTokens_.size() == 150);
}

TEST_CASE("A stop hands over only the streams that would not end in time") {
  RegistryFleet Fleet(Names);
  TestCaller Long{"long", 7, 1000};
  TestCaller Short{"short", 7, 100};
  Fleet.connect(Long, "a1");
  Fleet.connect(Short, "a1");
  Fleet.runUntilTokens(Short, 20);
  Fleet.leave("a1", seconds(5));
  Fleet.run(milliseconds(500));
  CHECK(Long.IsMoved_);
  CHECK_FALSE(Short.IsMoved_);
  Fleet.run(seconds(1));
  CHECK(Short.IsComplete_);
  REQUIRE(Fleet.generators("long").size() == 1);
  CHECK(Fleet.generators("long")[0][0] != 'a');
  Fleet.disconnect(Short);
  Fleet.run(seconds(3));
  CHECK(Fleet.registry("a1").streamsAtRisk() == 0);
  Fleet.kill("a1");
  Fleet.connect(Long, "b1");
  Fleet.runUntilTokens(Long, 1000);
  checkByteExact(Fleet, Long, "c1");
}

TEST_CASE("A data centre's stop and a second wave of stops lose no token") {
  auto const Seed = GENERATE(1U, 2U, 3U, 4U);
  RegistryFleet Fleet(Names, {20, 20, milliseconds(60)}, Seed);
  TestCaller Caller{"key" + std::to_string(Seed), 7, 2000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 200);
  Fleet.leave("a1", seconds(4));
  Fleet.leave("a2", seconds(4));
  // The receivers of the hand-over are reclaimed while it is in progress.
  Fleet.run(milliseconds(20));
  Fleet.leave("b1", seconds(4));
  Fleet.leave("b2", seconds(4));
  Fleet.run(seconds(4));
  for (auto const *Name : {"a1", "a2", "b1", "b2"}) {
    CHECK(Fleet.registry(Name).streamsAtRisk() == 0);
    Fleet.kill(Name);
    Fleet.setLiveness(Name, Liveness::Gone);
  }
  reconnectUntilComplete(Fleet, Caller, "c1");
  checkByteExact(Fleet, Caller, "c2");
}

TEST_CASE("Owner and checkpoint holder reclaimed at once lose no token") {
  auto const Seed = GENERATE(1U, 2U, 3U);
  RegistryFleet Fleet(Names, {10, 10, milliseconds(30)}, Seed);
  TestCaller Caller{"key", 7, 2000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 300);
  for (auto const *Name : {"a1", "a2", "b1", "b2"})
    Fleet.leave(Name, seconds(4));
  Fleet.run(seconds(4));
  for (auto const *Name : {"a1", "a2", "b1", "b2"}) {
    Fleet.kill(Name);
    Fleet.setLiveness(Name, Liveness::Gone);
  }
  reconnectUntilComplete(Fleet, Caller, "c2");
  checkByteExact(Fleet, Caller, "c1");
}

TEST_CASE("A partitioned former owner stops once it is reachable again") {
  // Different instances hold the checkpoints of different keys.
  auto const Key = "key" + std::to_string(GENERATE(range(0, 8)));
  RegistryFleet Fleet(Names);
  TestCaller Caller{Key, 7, 3000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 100);
  Fleet.disconnect(Caller);
  Fleet.run(seconds(4));
  Fleet.partition("a1");
  Fleet.connect(Caller, "c1");
  Fleet.run(seconds(2));
  CHECK(Fleet.generators(Key) == std::vector<std::string>{"a1", "c1"});
  Fleet.heal("a1");
  Fleet.run(seconds(5));
  CHECK(Fleet.generators(Key) == std::vector<std::string>{"c1"});
  Fleet.runUntilTokens(Caller, 3000);
  checkByteExact(Fleet, Caller, "a1");
}

TEST_CASE("A reachable former owner does not get its successor's caller") {
  auto const Key = "key" + std::to_string(GENERATE(range(0, 8)));
  RegistryFleet Fleet(Names);
  TestCaller Caller{Key, 7, 1500};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 100);
  Fleet.disconnect(Caller);
  Fleet.run(seconds(4));
  Fleet.partition("a1");
  Fleet.connect(Caller, "c1");
  Fleet.run(seconds(2));
  Fleet.disconnect(Caller);
  Fleet.heal("a1");
  Fleet.connect(Caller, "a2");
  Fleet.run(seconds(1));
  CHECK_FALSE(Caller.Failure_);
  Fleet.runUntilTokens(Caller, 1500);
  checkComplete(Caller);
}

TEST_CASE("Lost, duplicated and reordered messages never mix streams") {
  auto const Seed = GENERATE(range(1U, 9U));
  RegistryFleet Fleet(Names, {25, 25, milliseconds(150)}, Seed);
  TestCaller Caller{"key", 7, 1500};
  for (auto const *Through : {"a1", "c2", "b1", "a2", "b2", "c1"}) {
    if (!Caller.IsConnected_)
      Fleet.connect(Caller, Through);
    Fleet.run(seconds(3));
    if (Caller.IsConnected_)
      Fleet.disconnect(Caller);
  }
  reconnectUntilComplete(Fleet, Caller, "a1");
  checkComplete(Caller);
}

TEST_CASE("A key reused for other content is rejected") {
  auto const *Through = GENERATE("a1", "c1");
  RegistryFleet Fleet(Names);
  TestCaller Caller;
  TestCaller Other{"key", 8};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 10);
  Fleet.connect(Other, Through);
  Fleet.run(seconds(1));
  REQUIRE(Other.Failure_);
  CHECK(Other.Failure_->Error_.Kind_ == ErrorKind::InvalidArgument);
  CHECK(Other.Failure_->RunState_ == RunState::NotRun);
  CHECK(Caller.IsConnected_);
}

TEST_CASE("The newest connection gets the stream") {
  auto const *Through = GENERATE("a1", "c1");
  RegistryFleet Fleet(Names);
  TestCaller Older;
  TestCaller Newer;
  Fleet.connect(Older, "a1");
  Fleet.runUntilTokens(Older, 100);
  Fleet.connect(Newer, Through);
  Fleet.runUntilTokens(Newer, 200);
  CHECK(Older.IsMoved_);
  CHECK(Newer.IsComplete_);
  CHECK(std::equal(Older.ReceivedTokens_.begin(), Older.ReceivedTokens_.end(),
                   Newer.ReceivedTokens_.begin()));
}

TEST_CASE(
    "A stream without a caller is cancelled after a timeout and retained") {
  RegistryFleet Fleet(Names);
  TestCaller Caller{"key", 7, 5000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 10);
  Fleet.disconnect(Caller);
  Fleet.run(seconds(29));
  CHECK(Fleet.generators("key").size() == 1);
  Fleet.run(seconds(2));
  CHECK(Fleet.generators("key").empty());
  Fleet.connect(Caller, "b1");
  Fleet.runUntilTokens(Caller, 5000);
  checkByteExact(Fleet, Caller, "a2");
}

TEST_CASE("Short streams send no checkpoint") {
  RegistryFleet Fleet(Names);
  TestCaller Caller{"key", 7, 63};
  Fleet.connect(Caller, "a1");
  Fleet.run(seconds(10));
  CHECK(Caller.IsComplete_);
  for (auto const &Message : Fleet.sent())
    CHECK_FALSE(std::holds_alternative<StreamCheckpoint>(Message));
}

TEST_CASE("A stream longer than one message is handed over in parts") {
  RegistryFleet Fleet(Names);
  TestCaller Caller{"key", 7, 20'000};
  Fleet.connect(Caller, "a1");
  Fleet.runUntilTokens(Caller, 18'000);
  Fleet.disconnect(Caller);
  Fleet.connect(Caller, "c2");
  Fleet.runUntilTokens(Caller, 20'000);
  checkByteExact(Fleet, Caller, "a2");
}

TEST_CASE("Ended streams beyond the limit are forgotten, the oldest first") {
  streams::Settings Settings;
  Settings.Self_.Id_ = InstanceId("a1");
  Settings.MaxRetainedTokens_ = 3;
  StreamRegistry Registry(Settings);
  TimePoint Now{seconds(1)};
  auto const NameOf = [](std::string const &Key) {
    return StreamName{AccountName("account"), IdempotencyKey(Key)};
  };
  for (auto const *Key : {"older", "newer"}) {
    streams::StreamRequested Request;
    Request.Ticket_ = 1;
    Request.Name_ = NameOf(Key);
    Request.Naming_ = streams::Naming::ByThisInstance;
    auto const Started = Registry.handle(Request, Now);
    REQUIRE(Started.size() == 1);
    auto const Epoch = std::get<streams::StartStream>(Started[0]).Epoch_;
    Registry.handle(
        streams::FlowEnded{
            Request.Name_, Epoch, StreamPhase::Complete, 0, {"one", "two"}},
        Now);
    Now += seconds(1);
  }
  auto const Actions = Registry.handle(streams::TimePassed{}, Now);
  CHECK(Actions == streams::Actions{streams::ForgetStream{NameOf("older")}});
}
