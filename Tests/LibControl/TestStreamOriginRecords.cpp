#include "OriginFixture.h"

#include <deque>
#include <random>

using namespace laburnum;
using namespace laburnum::test;

namespace {

/// Refuses the records of streams.
struct RefusingStore : FakeAsyncStore {
  void put(ObjectKey const &, std::string const &, Duration,
           Done<Version> Done) override {
    ++Refused_;
    Done(Error{ErrorKind::InvalidArgument, "the value is too large", ""});
  }

  std::size_t Refused_ = 0;
};

} // namespace

TEST_CASE_METHOD(OriginFixture, "With one version a stream goes on at it, and "
                                "nothing is written for streams") {
  auto const First = start("a");
  auto const Second = start("b", HistoryRole::Reads);
  setUnfinished(First, {{"s1", origin("v1")}});
  pass({First, Second}, seconds(5));
  CHECK(find(Second, "s1").Origin_ == origin("v1"));
  CHECK(find(Second, "").Origin_ == origin("v1"));
  CHECK(Store_.Objects_.list("entry-streams").Objects_.empty());
}

TEST_CASE_METHOD(OriginFixture, "With two versions the origin is known by the "
                                "record, also after all were killed") {
  auto First = start("a");
  auto Second = start("b");
  list({"v1", "v2"}, {First, Second});
  setUnfinished(First, {{"s1", origin("v1")}, {"s2", origin("v2")}});
  pass({First, Second}, seconds(1));
  SECTION("another instance") {}
  SECTION("all were killed and restarted") {
    First = start("a");
    Second = start("b");
    setUnfinished(First, {{"s3", origin("v2")}});
    pass({First, Second}, seconds(1));
    CHECK(find(Second, "s3").Origin_ == origin("v2"));
  }
  SECTION("the old version left while no instance was running") {
    Listed_ = {server("v2")};
    Second = start("b");
  }
  CHECK(find(Second, "s1").Origin_ == origin("v1"));
  CHECK(find(Second, "s2").Origin_ == origin("v2"));
  CHECK(find(Second, "unknown") ==
        OriginAnswer{std::nullopt, OriginSource::NotRecorded});
  CHECK_FALSE(find(Second, "").Origin_);
}

TEST_CASE_METHOD(OriginFixture,
                 "A version that was replaced while no instance was "
                 "running still counts") {
  auto const Role = GENERATE(HistoryRole::Keeps, HistoryRole::Reads);
  start("a");
  Listed_ = {server("v2")};
  auto const Later = start("b", Role);
  CHECK_FALSE(find(Later, "s1").Origin_);
  auto const Keeper = start("c");
  pass({Later, Keeper}, seconds(31));
  CHECK(find(Later, "s1").Origin_ == origin("v2"));
  // The end of the old version is recorded, so it does not begin anew.
  CHECK(find(start("d", Role), "s1").Origin_ == origin("v2"));
}

TEST_CASE_METHOD(OriginFixture,
                 "A stream that its instance is about to record is "
                 "found by a second read") {
  auto const First = start("a");
  auto const Second = start("b");
  list({"v1", "v2"}, {First, Second});
  std::optional<OriginAnswer> Answer;
  Second->find({Writer, "host", "/stream/", "s1"}, timeOfDay(), Now_,
               [&](OriginAnswer const &Found) { Answer = Found; });
  Store_.deliver();
  CHECK_FALSE(Answer);
  setUnfinished(First, {{"s1", origin("v1")}});
  pass({First, Second}, seconds(1));
  REQUIRE(Answer);
  CHECK(Answer->Origin_ == origin("v1"));
}

// Guards against what was heard before a cut being taken for what holds.
TEST_CASE_METHOD(OriginFixture,
                 "While the store is away no origin follows from "
                 "what was known before") {
  auto const First = start("a");
  bool const IsMixed = GENERATE(false, true);
  if (IsMixed)
    list({"v1", "v2"}, {First});
  CHECK(find(First, "s1").Origin_.has_value() == !IsMixed);
  Store_.Fault_ = StoreFault::Down;
  CHECK(find(First, "s1") ==
        OriginAnswer{std::nullopt, OriginSource::StoreSilent});
}

TEST_CASE_METHOD(OriginFixture,
                 "The history is written again after the store was "
                 "restored from an older copy") {
  auto const Older = Store_.Objects_;
  auto const First = start("a");
  Store_.Objects_ = Older;
  First->onStoreRestored(timeOfDay(), Now_);
  Store_.deliver();
  Listed_ = {server("v2")};
  CHECK_FALSE(find(start("b"), "s1").Origin_);
}

TEST_CASE_METHOD(OriginFixture, "Objects of another writer hold no origins") {
  auto const *const Text = GENERATE(
      "[]", "{\"services\":3}", "{\"services\":{\"writer\":{\"v1\":\"x\"}}}",
      "{\"streams\":{\"writer\":{\"v1\":[7]}},\"written_ms\":1}", "\xff");
  Store_.Objects_.putIf({"entry-software-versions", "history"}, 0, Text);
  Store_.Objects_.putIf({"entry-streams", "z"}, 0, Text);
  auto const First = start("a");
  CHECK(find(First, "s1").Origin_ == origin("v1"));
  list({"v1", "v2"}, {First});
  CHECK_FALSE(find(First, "s1").Origin_);
}

// Guards against identifiers of clients that end the process or name another
// stream in its record.
TEST_CASE_METHOD(OriginFixture,
                 "A stream is found by its record whatever its identifier") {
  std::vector<std::string> const Identifiers = {
      "\xff\xfe", "\xff",   "\xc3", "\xc3\xa9",  "a00%20", "a00 ", "a01%",
      "%FF",      "a02&b=", "a03+", "a04%C3%A9", "a/b",    "\"\\", "s1"};
  auto const First = start("a");
  auto const Second = start("b");
  list({"v1", "v2"}, {First, Second});
  std::vector<BegunStream> Begun;
  for (auto const &Identifier : Identifiers)
    Begun.push_back({Identifier, origin(Begun.size() % 2 ? "v1" : "v2")});
  setUnfinished(First, Begun);
  pass({First, Second}, seconds(1));
  for (auto const &Stream : Begun) {
    CAPTURE(Stream.FirstAttemptId_);
    CHECK(find(Second, Stream.FirstAttemptId_) ==
          OriginAnswer{Stream.Origin_, OriginSource::Record});
  }
  CHECK(find(Second, "\xef\xbf\xbd").Source_ == OriginSource::NotRecorded);
}

TEST_CASE_METHOD(OriginFixture,
                 "A stream that a release without encoding has recorded is "
                 "found") {
  auto const *const Identifier = GENERATE("9c41d07be2a35f68", "a/b", "a01%");
  Store_.Objects_.putIf(
      {"entry-streams", "z"}, 0,
      std::string("{\"streams\":{\"writer\":{\"v1\":[\"") + Identifier +
          "\"]}},\"written_ms\":" +
          std::to_string(
              std::chrono::duration_cast<milliseconds>(timeOfDay()).count()) +
          "}");
  auto const First = start("a");
  list({"v1", "v2"}, {First});
  CHECK(find(First, Identifier) ==
        OriginAnswer{origin("v1"), OriginSource::Record});
}

TEST_CASE_METHOD(OriginFixture, "Streams are not joined whatever instances and "
                                "versions come and go") {
  auto const Count = GENERATE(1U, 8U, 24U, 77U);
  auto const Seed = GENERATE(range(1U, 9U));
  CAPTURE(Count, Seed);
  std::mt19937 Generator(Seed);
  auto const Pick = [&](std::size_t Options) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Options - 1)(Generator);
  };
  std::vector<std::string> const Names{"v1", "v2", "v10"};
  std::vector<Records> Fleet;
  auto const Start = [&](std::size_t Index) {
    auto Made = start("i" + std::to_string(Index),
                      Index < 3 ? HistoryRole::Keeps : HistoryRole::Reads);
    Made->setLive(Count);
    return Made;
  };
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.push_back(Start(Index));
  struct Begun {
    std::string Version_;
    TimePoint At_;
  };
  std::map<std::string, Begun> Streams;
  std::vector<std::vector<BegunStream>> Unfinished(Count);
  std::size_t GoneOn = 0;
  for (unsigned Step = 0; Step < 60; ++Step) {
    if (Pick(4) == 0) {
      std::vector<std::string> Serving;
      for (auto const &Name : Names)
        if (Pick(2) == 0)
          Serving.push_back(Name);
      if (Serving.empty())
        Serving.push_back(Names[Pick(Names.size())]);
      if (Pick(3) > 0) {
        list(Serving, Fleet);
      } else {
        // All are killed, and the versions change before they are back.
        list(Serving, {});
        for (std::size_t Index = 0; Index < Count; ++Index) {
          Fleet[Index] = Start(Index);
          Unfinished[Index].clear();
        }
      }
    }
    auto const Beginner = Pick(Count);
    auto const Name = "s" + std::to_string(Step);
    auto const &Version = Listed_[Pick(Listed_.size())].SoftwareVersion_;
    Streams[Name] = {Version, Now_};
    Unfinished[Beginner].push_back({Name, origin(Version)});
    setUnfinished(Fleet[Beginner], Unfinished[Beginner]);
    if (Pick(5) == 0) {
      Fleet[Beginner] = Start(Beginner);
      Unfinished[Beginner].clear();
    }
    pass(Fleet, milliseconds(250 * (1 + Pick(8))));
    for (auto const &[Stream, First] : Streams) {
      if (Now_ - First.At_ >= seconds(20) || Pick(4) > 0)
        continue;
      auto const Found = find(Fleet[Pick(Count)], Stream);
      if (Found.Origin_)
        CHECK(Found.Origin_->SoftwareVersion_ == First.Version_);
      GoneOn += Found.Origin_ ? 1 : 0;
    }
  }
  CHECK(GoneOn > 0);
}

// Guards against clients whose identifiers make the record too large for the
// store, so that the origin of no other stream is known.
TEST_CASE_METHOD(OriginFixture, "Long identifiers of streams are not recorded, "
                                "and do not keep others from it") {
  constexpr std::size_t MaxValueBytes = 1048576;
  auto const First = start("a");
  auto const Second = start("b");
  list({"v1", "v2"}, {First, Second});
  std::vector<BegunStream> Streams{{"s1", origin("v1")},
                                   {std::string(256, '\xff'), origin("v2")}};
  for (int Number = 0; Number < 200; ++Number)
    Streams.push_back(
        {std::string(2048, '\xff') + std::to_string(Number), origin("v1")});
  setUnfinished(First, Streams);
  pass({First, Second}, seconds(1));
  CHECK(stored({"entry-streams", "a"}).size() <= MaxValueBytes);
  CHECK(find(Second, "s1").Origin_ == origin("v1"));
  CHECK(find(Second, std::string(256, '\xff')).Origin_ == origin("v2"));
  CHECK(find(Second, Streams.back().FirstAttemptId_) == NotRecorded);
}

TEST_CASE_METHOD(OriginFixture, "A record of streams that the store refuses is "
                                "written again after pauses that double") {
  RefusingStore Refusing;
  auto const Records = std::make_shared<StreamOriginRecords>(Refusing, "a");
  auto const Pass = [&](Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End;) {
      Now_ += milliseconds(50);
      Records->tick(timeOfDay(), Now_);
      Refusing.deliver();
    }
  };
  Records->setListed({server("v1"), server("v2")}, timeOfDay(), Now_);
  Records->setHistoryRole(HistoryRole::Keeps, timeOfDay(), Now_);
  Refusing.deliver();
  setUnfinished(Records, {{"s1", origin("v1")}});
  // 0.2, 0.4, 0.8, 1.6 and then 3.2 s.
  Pass(seconds(3));
  CHECK(Refusing.Refused_ == 4);
  Pass(seconds(32));
  CHECK(Refusing.Refused_ == 14);
}
