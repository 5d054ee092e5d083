#include <Fakes/FakeObjectStore.h>
#include <LibPlatform/MeteredObjectStore.h>
#include <LibPlatform/RetryingObjectStore.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace laburnum;

namespace {

ObjectKey const Key{"service", "desk"};
constexpr Duration Second = std::chrono::seconds(1);

/// A simulated clock that only pauses advance. Records each pause and calls
/// AfterPause_ after it.
class ManualClock : public StoreClock {
public:
  TimePoint now() override { return Now_; }
  void pause(Duration Length) override {
    Now_ += Length;
    Pauses_.push_back(Length);
    if (AfterPause_)
      AfterPause_();
  }

  TimePoint Now_{};
  std::vector<Duration> Pauses_;
  std::function<void()> AfterPause_;
};

} // namespace

TEST_CASE("A read is retried until the store is available") {
  FakeObjectStore Inner;
  ManualClock Clock;
  RetryingObjectStore Store(Inner, Clock, {}, 1);
  Inner.setReachability(Reachability::Unavailable);
  Clock.AfterPause_ = [&] {
    if (Clock.Pauses_.size() == 3)
      Inner.setReachability(Reachability::Reachable);
  };
  CHECK_FALSE(isError(Store.get(Key, 60 * Second)));
  CHECK(Inner.counts().Gets_ == 4);
}

TEST_CASE("Reads are retried only within the timeout and the budget") {
  FakeObjectStore Inner;
  ManualClock Clock;
  Inner.setReachability(Reachability::Unavailable);
  SECTION("timeout") {
    ReadRetryPolicy Policy;
    Policy.RetryBudgetSize_ = 1e6;
    RetryingObjectStore Store(Inner, Clock, Policy, 1);
    CHECK(isError(Store.list("service", Second)));
    CHECK(Clock.Now_ < TimePoint{} + Second);
    CHECK(Clock.Pauses_.size() >= 2);
  }
  SECTION("budget") {
    ReadRetryPolicy Policy;
    Policy.RetryBudgetSize_ = 2;
    Policy.RetriesPerCall_ = 0.5;
    RetryingObjectStore Store(Inner, Clock, Policy, 1);
    CHECK(isError(Store.get(Key, 3600 * Second)));
    CHECK(Inner.counts().Gets_ == 3);
    CHECK(isError(Store.get(Key, 3600 * Second)));
    CHECK(Inner.counts().Gets_ == 4);
    CHECK(isError(Store.watch("service", 0, 3600 * Second)));
    CHECK(Inner.counts().Watches_ == 2);
  }
}

TEST_CASE("A put is never retried") {
  FakeObjectStore Inner;
  ManualClock Clock;
  RetryingObjectStore Store(Inner, Clock, {}, 1);
  Inner.loseWriteAnswers(1);
  CHECK(isError(Store.putIf(Key, 0, "one", 60 * Second)));
  Inner.setReachability(Reachability::Unavailable);
  CHECK(isError(Store.putIf(Key, 0, "one", 60 * Second)));
  CHECK(Inner.counts().Puts_ == 2);
  CHECK(Clock.Pauses_.empty());
}

TEST_CASE(
    "The metered store counts calls by kind and rejects above each rate") {
  FakeObjectStore Inner;
  ManualClock Clock;
  MeteredObjectStore Store(Inner, Clock, {3, 1});
  CHECK_FALSE(isError(Store.get(Key, Second)));
  CHECK_FALSE(isError(Store.list("service", Second)));
  CHECK_FALSE(isError(Store.watch("service", 0, 60 * Second)));
  CHECK(isError(Store.get(Key, Second)));
  CHECK_FALSE(isError(Store.putIf(Key, 0, "one", Second)));
  auto const Refused = Store.putIf(Key, 1, "two", Second);
  REQUIRE(isError(Refused));
  CHECK(errorOf(Refused).Kind_ == ErrorKind::ResourceExhausted);
  CHECK(Store.counts() == ObjectStoreCounts{1, 1, 1, 1, 2});
  CHECK(Inner.counts() == ObjectStoreCounts{1, 1, 1, 1, 0});

  Clock.Now_ += Second;
  CHECK(Store.putIf(Key, 1, "two", Second) == Result<Version>(2u));
}
