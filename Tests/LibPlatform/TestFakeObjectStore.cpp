#include <Fakes/FakeObjectStore.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

ObjectKey const Key{"service", "desk"};
constexpr Duration NoWait{};

Version versionSeen(FakeObjectStore &Store) {
  return valueOf(Store.get(Key, NoWait)).Version_;
}

} // namespace

TEST_CASE("Lost writes and lost answers differ in their effect only") {
  FakeObjectStore Store;
  Store.loseWrites(1);
  auto const Lost = Store.putIf(Key, 0, "one", NoWait);
  CHECK(errorOf(Lost).Kind_ == ErrorKind::OutcomeUnknown);
  CHECK(versionSeen(Store) == 0);
  Store.loseWriteAnswers(1);
  CHECK(Store.putIf(Key, 0, "one", NoWait) == Lost);
  CHECK(versionSeen(Store) == 1);
  CHECK(Store.putIf(Key, 1, "two", NoWait) == Result<Version>(2u));
}

TEST_CASE("Stale reads show an earlier version, puts see the current one") {
  FakeObjectStore Store;
  REQUIRE_FALSE(isError(Store.putIf(Key, 0, "one", NoWait)));
  REQUIRE_FALSE(isError(Store.putIf(Key, 1, "two", NoWait)));
  Store.serveReadsAsOf(1);
  CHECK(valueOf(Store.get(Key, NoWait)).Value_ == "one");
  CHECK(valueOf(Store.list("service", NoWait)) ==
        ObjectList{1, {{Key, 1, "one"}}});
  CHECK(isError(Store.putIf(Key, 1, "three", NoWait)));
  Store.serveReadsAsOf(std::nullopt);
  CHECK(versionSeen(Store) == 2);
}

TEST_CASE("A restored store reuses versions, and watches report a gap") {
  FakeObjectStore Store;
  REQUIRE_FALSE(isError(Store.putIf(Key, 0, "one", NoWait)));
  REQUIRE_FALSE(isError(Store.putIf(Key, 1, "two", NoWait)));
  Store.restoreTo(1);
  CHECK(valueOf(Store.get(Key, NoWait)) == StoredObject{Key, 1, "one"});
  CHECK(valueOf(Store.watch("service", 2, NoWait)).Continuity_ ==
        WatchContinuity::Gap);
  CHECK(Store.putIf(Key, 1, "other", NoWait) == Result<Version>(2u));
}

TEST_CASE("A watch returns the latest state of changed objects, or a gap") {
  FakeObjectStore Store(2);
  REQUIRE_FALSE(isError(Store.putIf(Key, 0, "one", NoWait)));
  REQUIRE_FALSE(isError(Store.putIf(Key, 1, "two", NoWait)));
  CHECK(valueOf(Store.watch("service", 0, NoWait)) ==
        WatchBatch{WatchContinuity::Complete, 2, {{Key, 2, "two"}}});
  REQUIRE_FALSE(isError(Store.putIf({"lease", "x"}, 0, "", NoWait)));
  CHECK(valueOf(Store.watch("service", 0, NoWait)).Continuity_ ==
        WatchContinuity::Gap);
  Store.breakWatches(1);
  CHECK(valueOf(Store.watch("service", 3, NoWait)).Continuity_ ==
        WatchContinuity::Gap);
  CHECK(valueOf(Store.watch("service", 3, NoWait)) ==
        WatchBatch{WatchContinuity::Complete, 3, {}});
}
