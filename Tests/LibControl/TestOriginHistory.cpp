#include "OriginFixture.h"

#include <LibControl/OriginHistoryCodec.h>
#include <LibTraffic/StreamOrigins.h>

#include <algorithm>

using namespace laburnum;
using namespace laburnum::test;

namespace {

struct Fixture : OriginFixture {
  /// Starts an instance and follows where its streams may begin.
  Records startFollowed(std::string const &Name, HistoryRole Role) {
    auto Made = start(Name, Role);
    Made->setListener([this, Name](RecordedOrigins const &Recorded) {
      At_[Name] = Recorded;
    });
    return Made;
  }
  bool mayBegin(std::string const &Name, std::string const &Version) {
    return At_[Name].Versions_.contains(origin(Version));
  }
  /// Tells one instance of the list.
  void listAt(Records const &Instance,
              std::vector<std::string> const &Versions) {
    std::vector<ServerRecord> Servers;
    for (auto const &Version : Versions)
      Servers.push_back(server(Version));
    Instance->setListed(Servers, timeOfDay(), Now_);
    Store_.deliver();
  }

  std::map<std::string, RecordedOrigins> At_;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A stream may begin at a version only once the store "
                          "holds it") {
  auto const Keeper = startFollowed("a", HistoryRole::Keeps);
  CHECK(mayBegin("a", "v1"));
  Store_.Fault_ = StoreFault::Down;
  list({"v1", "v2"}, {Keeper});
  pass({Keeper}, seconds(3));
  CHECK_FALSE(mayBegin("a", "v2"));
  CHECK(mayBegin("a", "v1"));
  Store_.Fault_ = StoreFault::None;
  pass({Keeper}, seconds(2));
  CHECK(mayBegin("a", "v2"));
  CHECK(find(start("stale", HistoryRole::Reads), "s1") == NotRecorded);
}

// Guards against a stream of a version that its keepers have listed, but not
// recorded.
TEST_CASE_METHOD(Fixture, "Where the keepers are lost between listing a "
                          "version and recording it, others record it before "
                          "streams begin") {
  auto Keeper = startFollowed("a", HistoryRole::Keeps);
  auto const Reader = startFollowed("b", HistoryRole::Reads);
  auto const Stale = startFollowed("c", HistoryRole::Reads);
  Store_.Fault_ = StoreFault::Down;
  listAt(Keeper, {"v1", "v2"});
  Keeper.reset();
  Store_.Fault_ = StoreFault::None;
  listAt(Reader, {"v1", "v2"});
  CHECK_FALSE(mayBegin("b", "v2"));
  CHECK(find(Stale, "s1") == OnlyVersion);
  for (int Ticks = 0; Ticks < 12 && !mayBegin("b", "v2"); ++Ticks)
    pass({Reader, Stale}, Tick);
  REQUIRE(mayBegin("b", "v2"));
  CHECK(find(Stale, "s1") == NotRecorded);
}

TEST_CASE_METHOD(Fixture, "An instance whose list is outdated learns of a "
                          "version from the store before a stream begins "
                          "there") {
  auto const Keeper = startFollowed("a", HistoryRole::Keeps);
  auto const Stale = startFollowed("b", HistoryRole::Reads);
  pass({Keeper, Stale}, seconds(1));
  CHECK(find(Stale, "s1") == OnlyVersion);
  listAt(Keeper, {"v1", "v2"});
  REQUIRE(mayBegin("a", "v2"));
  CHECK(find(Stale, "s1") == NotRecorded);
}

TEST_CASE_METHOD(Fixture, "What another instance has read counts as read, and "
                          "an older state does not") {
  auto const Keeper = startFollowed("a", HistoryRole::Keeps);
  auto const Reader = startFollowed("b", HistoryRole::Reads);
  auto const Older = Store_.Objects_.list("entry-software-versions");
  listAt(Keeper, {"v1", "v2"});
  CHECK_FALSE(mayBegin("b", "v2"));
  auto const Newer = Store_.Objects_.list("entry-software-versions");
  bool const IsWhole = GENERATE(true, false);
  if (IsWhole)
    Reader->onHistoryListed(Newer, timeOfDay(), Now_);
  else
    Reader->onHistoryChanged(Newer.Objects_, timeOfDay(), Now_);
  CHECK(mayBegin("b", "v2"));
  Reader->onHistoryListed(Older, timeOfDay(), Now_);
  Reader->onHistoryChanged(Older.Objects_, timeOfDay(), Now_);
  CHECK(mayBegin("b", "v2"));
}

TEST_CASE_METHOD(Fixture, "No stream begins at a version for long after its "
                          "last server has left the list") {
  auto const Keeper = startFollowed("a", HistoryRole::Keeps);
  list({"v2"}, {Keeper});
  pass({Keeper}, seconds(1));
  CHECK(mayBegin("a", "v1"));
  pass({Keeper}, seconds(10));
  CHECK_FALSE(mayBegin("a", "v1"));
  // Clients may still wait for its streams.
  CHECK(find(Keeper, "s1") == NotRecorded);
}

TEST_CASE_METHOD(Fixture, "Streams may begin on a route that has moved only "
                          "once the store holds the move") {
  Table_ = table(1, Drafter);
  auto const Role = GENERATE(HistoryRole::Keeps, HistoryRole::Reads);
  auto const First = startFollowed("a", Role);
  Store_.Fault_ = StoreFault::Down;
  lead(2, Writer, {First});
  CHECK(At_["a"].UnrecordedMoves_ ==
        std::vector<RouteRegion>{{"host", "/stream/"}});
  First->onStreamsWait(timeOfDay(), Now_);
  pass({First}, seconds(2));
  CHECK_FALSE(At_["a"].UnrecordedMoves_.empty());
  Store_.Fault_ = StoreFault::None;
  pass({First}, seconds(2));
  CHECK(At_["a"].UnrecordedMoves_.empty());
}

TEST_CASE_METHOD(Fixture, "A configuration that was changed while no instance "
                          "ran is recorded before streams begin") {
  Table_ = table(1, Drafter);
  start("a");
  Table_ = table(3, Writer);
  Store_.Fault_ = StoreFault::LostAnswer;
  auto const Later = startFollowed("b", HistoryRole::Reads);
  CHECK(At_["b"].OtherMoves_ == MoveRecord::Incomplete);
  Store_.Fault_ = StoreFault::None;
  Later->onStreamsWait(timeOfDay(), Now_);
  pass({Later}, seconds(2));
  CHECK(At_["b"].OtherMoves_ == MoveRecord::Complete);
}

TEST_CASE_METHOD(Fixture, "Streams of servers that do not identify themselves "
                          "are of an unknown version as long as clients wait "
                          "for them") {
  auto const Keeper = startFollowed("a", HistoryRole::Keeps);
  auto const User = startFollowed("b", HistoryRole::Reads);
  CHECK(find(Keeper, "s1") == OnlyVersion);
  auto const Writes = [this] {
    return Store_.Objects_.find(VersionsKey).Version_;
  };
  auto const Before = Writes();
  for (int Time = 0; Time < 40; ++Time) {
    User->onUnidentified(Writer, timeOfDay(), Now_);
    Store_.deliver();
    CHECK(mayBegin("b", UnidentifiedVersion));
    CHECK(find(Keeper, "s1") == NotRecorded);
    pass({Keeper, User}, milliseconds(500));
  }
  // In 20 s.
  CHECK(Writes() - Before <= 4);
  pass({Keeper, User}, seconds(20));
  CHECK(find(Keeper, "s1") == NotRecorded);
  pass({Keeper, User}, seconds(11));
  CHECK(find(Keeper, "s1") == OnlyVersion);
  CHECK_FALSE(mayBegin("b", UnidentifiedVersion));
}

TEST_CASE_METHOD(Fixture, "A restored store proves nothing until no client "
                          "waits for streams that began before") {
  auto const First = startFollowed("a", HistoryRole::Keeps);
  CHECK(find(First, "s1") == OnlyVersion);
  First->onStoreRestored(timeOfDay(), Now_);
  Store_.deliver();
  CHECK(find(First, "s1") == NotRecorded);
  CHECK(First->isMixed(timeOfDay()));
  pass({First}, seconds(31));
  CHECK(find(First, "s1") == OnlyVersion);
}

TEST_CASE_METHOD(Fixture, "An instance that lags far behind the recorded "
                          "configuration begins no streams by its own") {
  Table_ = table(1, Drafter);
  auto const Late = startFollowed("a", HistoryRole::Reads);
  auto const Keeper = start("k");
  lead(2, Writer, {Keeper});
  CHECK(At_["a"].OtherMoves_ == MoveRecord::Complete);
  Late->onHistoryListed(Store_.Objects_.list("entry-software-versions"),
                        timeOfDay(), Now_);
  pass({Late, Keeper}, seconds(11));
  CHECK(At_["a"].OtherMoves_ == MoveRecord::Incomplete);
  lead(2, Writer, {Late});
  CHECK(At_["a"].OtherMoves_ == MoveRecord::Complete);
}

TEST_CASE_METHOD(Fixture, "A move that the store does not hold delays no "
                          "streams once no client waits for those before it") {
  Table_ = table(1, Drafter);
  auto const Reader = startFollowed("a", HistoryRole::Reads);
  lead(2, Writer, {Reader});
  CHECK_FALSE(At_["a"].UnrecordedMoves_.empty());
  pass({Reader}, seconds(31));
  CHECK(At_["a"].UnrecordedMoves_.empty());
}

TEST_CASE_METHOD(Fixture, "No stream begins before the history was read") {
  Store_.Fault_ = StoreFault::Down;
  startFollowed("a", HistoryRole::Reads);
  CHECK(At_["a"] == RecordedOrigins());
}

// Guards against a stream that a cut-off instance begins at a version that all
// others have forgotten.
TEST_CASE_METHOD(Fixture, "A stream that a cut-off instance begins 30 s after "
                          "its version has left the list is not continued at "
                          "another version") {
  auto const CutOff = startFollowed("c", HistoryRole::Reads);
  auto const Keeper = start("k");
  listAt(Keeper, {"v1", "v2"});
  listAt(Keeper, {"v2"});
  pass({Keeper}, seconds(31));
  bool const MayBegin = mayBegin("c", "v1");
  CHECK_FALSE((MayBegin && find(Keeper, "s1").Origin_));
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE("A history with names that are not UTF-8 is written") {
  VersionHistory const History = {
      {ServiceName("s"), {{"v1", std::nullopt}, {"v\xff", seconds(2)}}},
      {ServiceName("s\xff"), {{"v1", seconds(1)}}}};
  CHECK(detail::decodeVersions(detail::encode(History)) ==
        VersionHistory{
            {ServiceName("s"), {{"v1", std::nullopt}, {"v\uFFFD", seconds(2)}}},
            {ServiceName("s\uFFFD"), {{"v1", seconds(1)}}}});
  MovedRoutes Moved;
  Moved.Regions_[{"h\xff", "/a\xff"}] = seconds(3);
  MovedRoutes Expected;
  Expected.Regions_[{"h\uFFFD", "/a\uFFFD"}] = seconds(3);
  CHECK(detail::decodeMoves(detail::encode(Moved)).Regions_ ==
        Expected.Regions_);
}
