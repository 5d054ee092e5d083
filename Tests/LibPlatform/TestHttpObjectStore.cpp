#include <LibPlatform/StandinFixture.h>

#include <catch2/catch.hpp>

#include <future>

using namespace laburnum;

namespace {

ObjectKey const Key{"service", "a b/c?%"};

/// Blocks until the stand-in has received a watch.
void awaitWatch(StandinFixture const &Platform) {
  while (Platform.Standin_->counters().Watches_ == 0)
    std::this_thread::yield();
}

} // namespace

TEST_CASE("Objects are written, read and listed with store-wide versions") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  CHECK(Store.get(Key, GenerousTimeout) ==
        Result<StoredObject>(StoredObject{Key, 0, {}}));
  CHECK(Store.putIf(Key, 0, "one", GenerousTimeout) == Result<Version>(1u));
  CHECK(Store.putIf({"lease", "x"}, 0, "two", GenerousTimeout) ==
        Result<Version>(2u));
  CHECK(Store.get(Key, GenerousTimeout) ==
        Result<StoredObject>(StoredObject{Key, 1, "one"}));
  CHECK(Store.list("service", GenerousTimeout) ==
        Result<ObjectList>(ObjectList{2, {{Key, 1, "one"}}}));
}

TEST_CASE("A rejected put reports the reason and uses no version") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  REQUIRE(Store.putIf(Key, 0, "one", GenerousTimeout) == Result<Version>(1u));
  auto const Refused = Store.putIf(Key, 0, "two", GenerousTimeout);
  REQUIRE(failsWith(Refused, ErrorKind::Conflict));
  CHECK(errorOf(Refused).Message_.find("version is 1") != std::string::npos);

  std::string const TooLarge(VersionedStore::MaxValueBytes + 1, 'x');
  CHECK(failsWith(Store.putIf(Key, 1, TooLarge, GenerousTimeout),
                  ErrorKind::InvalidArgument));
  CHECK(failsWith(Store.putIf(Key, 1, "\xff", GenerousTimeout),
                  ErrorKind::InvalidArgument));
  std::string const Largest(VersionedStore::MaxValueBytes, 'x');
  CHECK(Store.putIf(Key, 1, Largest, GenerousTimeout) == Result<Version>(2u));
}

TEST_CASE("An outage and a refused connection are Unavailable") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  SECTION("outage") {
    Platform.Standin_->faults().switchOn(StandinFault::Outage, 0, {});
  }
  SECTION("refused connection") { Platform.Standin_.reset(); }
  CHECK(failsWith(Store.get(Key, GenerousTimeout), ErrorKind::Unavailable));
  CHECK(failsWith(Store.list("service", GenerousTimeout),
                  ErrorKind::Unavailable));
  CHECK(failsWith(Store.putIf(Key, 0, "one", GenerousTimeout),
                  ErrorKind::Unavailable));
  CHECK(failsWith(Store.watch("service", 0, Duration::zero()),
                  ErrorKind::Unavailable));
  CHECK(failsWith(Platform.Instances_.fetch(GenerousTimeout),
                  ErrorKind::Unavailable));
  CHECK(failsWith(Platform.Cloud_.start({}, GenerousTimeout),
                  ErrorKind::Unavailable));
}

TEST_CASE("Calls above the platform's rate are ResourceExhausted") {
  StandinOptions Options;
  Options.WritesPerSecond_ = 0.0001;
  Options.ReadsPerSecond_ = 0.0001;
  StandinFixture Platform(Options);
  auto &Store = Platform.Store_;
  CHECK(Store.putIf(Key, 0, "one", GenerousTimeout) == Result<Version>(1u));
  CHECK(failsWith(Store.putIf(Key, 1, "two", GenerousTimeout),
                  ErrorKind::ResourceExhausted));
  CHECK(Store.get(Key, GenerousTimeout) ==
        Result<StoredObject>(StoredObject{Key, 1, "one"}));
  CHECK(
      failsWith(Store.get(Key, GenerousTimeout), ErrorKind::ResourceExhausted));
  CHECK(Platform.Standin_->counters().Refused_ == 2);
}

TEST_CASE("A put whose answer is lost has an unknown outcome") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  // On a reused connection the client must not retry the put on its own.
  REQUIRE_FALSE(isError(Store.get(Key, GenerousTimeout)));
  SECTION("and took effect") {
    Platform.Standin_->faults().switchOn(StandinFault::LoseWriteAnswers, 1, {});
    CHECK(failsWith(Store.putIf(Key, 0, "one", GenerousTimeout),
                    ErrorKind::OutcomeUnknown));
    CHECK(Platform.Standin_->store().find(Key).Version_ == 1);
  }
  SECTION("and did not take effect") {
    Platform.Standin_->faults().switchOn(StandinFault::LoseWrites, 1, {});
    CHECK(failsWith(Store.putIf(Key, 0, "one", GenerousTimeout),
                    ErrorKind::OutcomeUnknown));
    CHECK(Platform.Standin_->store().find(Key).Version_ == 0);
  }
  CHECK(Platform.Standin_->counters().Puts_ == 1);
}

TEST_CASE("A call that times out is unknown for a put, unavailable for a get") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  constexpr Duration Short = std::chrono::milliseconds(20);
  Platform.Standin_->faults().switchOn(StandinFault::Slow, 0, GenerousTimeout);
  CHECK(
      failsWith(Store.putIf(Key, 0, "one", Short), ErrorKind::OutcomeUnknown));
  CHECK(failsWith(Store.get(Key, Short), ErrorKind::Unavailable));
  CHECK(failsWith(Store.putIf(Key, 0, "one", Duration::zero()),
                  ErrorKind::Unavailable));
}

TEST_CASE("A watch waits for a change of its collection") {
  StandinFixture Platform;
  auto Watching = std::async(std::launch::async, [&] {
    return Platform.Store_.watch("service", 0, GenerousTimeout);
  });
  awaitWatch(Platform);
  REQUIRE_FALSE(
      isError(Platform.Store_.putIf({"lease", "x"}, 0, "", GenerousTimeout)));
  REQUIRE_FALSE(isError(Platform.Store_.putIf(Key, 0, "one", GenerousTimeout)));
  auto const Batch = Watching.get();
  REQUIRE_FALSE(isError(Batch));
  CHECK(valueOf(Batch) ==
        WatchBatch{WatchContinuity::Complete, 2, {{Key, 2, "one"}}});
  CHECK(Platform.Standin_->counters().Watches_ == 1);
}

TEST_CASE("A watch that may have missed changes reports a gap") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  REQUIRE_FALSE(isError(Store.putIf(Key, 0, "one", GenerousTimeout)));
  Version From = 0;
  SECTION("by fault") {
    Platform.Standin_->faults().switchOn(StandinFault::WatchGap, 1, {});
  }
  SECTION("because the store was restored") {
    From = 1;
    Platform.Standin_->store().restore(1);
  }
  auto const Batch = Store.watch("service", From, GenerousTimeout);
  REQUIRE_FALSE(isError(Batch));
  CHECK(valueOf(Batch).Continuity_ == WatchContinuity::Gap);
}

TEST_CASE("Closing the connection ends a waiting watch") {
  StandinFixture Platform;
  auto Watching = std::async(std::launch::async, [&] {
    return Platform.Store_.watch("service", 0, GenerousTimeout);
  });
  awaitWatch(Platform);
  Platform.Connection_.close();
  CHECK(failsWith(Watching.get(), ErrorKind::Unavailable));
  CHECK(failsWith(Platform.Store_.get(Key, GenerousTimeout),
                  ErrorKind::Unavailable));
}

TEST_CASE("Several threads call at once") {
  StandinFixture Platform;
  std::vector<std::future<Result<Version>>> Writing;
  for (auto Number = 0; Number < 8; ++Number)
    Writing.push_back(std::async(std::launch::async, [&, Number] {
      return Platform.Store_.putIf({"service", std::to_string(Number)}, 0, "",
                                   GenerousTimeout);
    }));
  for (auto &Write : Writing)
    CHECK_FALSE(isError(Write.get()));
  auto const Listed = Platform.Store_.list("service", GenerousTimeout);
  REQUIRE_FALSE(isError(Listed));
  CHECK(valueOf(Listed).StoreVersion_ == 8);
  CHECK(valueOf(Listed).Objects_.size() == 8);
}

TEST_CASE("Stale reads of the stand-in end after their count") {
  StandinFixture Platform;
  auto &Store = Platform.Store_;
  REQUIRE_FALSE(isError(Store.putIf(Key, 0, "one", GenerousTimeout)));
  Platform.Standin_->store().beginStaleReads(1);
  REQUIRE_FALSE(isError(Store.putIf(Key, 1, "two", GenerousTimeout)));
  CHECK(Store.get(Key, GenerousTimeout) ==
        Result<StoredObject>(StoredObject{Key, 1, "one"}));
  CHECK(Store.get(Key, GenerousTimeout) ==
        Result<StoredObject>(StoredObject{Key, 2, "two"}));
}
