#include "OriginFixture.h"

#include <random>

using namespace laburnum;
using namespace laburnum::test;

TEST_CASE_METHOD(OriginFixture,
                 "With an unmoved route the only version decides, and "
                 "nothing is written for streams") {
  Table_ = table(1, Writer);
  auto const First = start("a");
  lead(2, Writer, {First});
  setUnfinished(First, {{"s1", origin("v1")}});
  pass({First}, seconds(5));
  CHECK_FALSE(First->isMixed(timeOfDay()));
  CHECK(find(First, "s1") == OnlyVersion);
  CHECK(Store_.Objects_.list("entry-streams").Objects_.empty());
}

TEST_CASE_METHOD(OriginFixture,
                 "While a route's move is recent the only version does "
                 "not decide") {
  Table_ = table(1, Drafter);
  auto const First = start("a");
  auto const Second = start("b", HistoryRole::Reads);
  StreamOrigin const Earlier{Drafter, "v7"};
  lead(2, Writer, {First, Second});
  CHECK(First->isMixed(timeOfDay()));
  CHECK(First->isBusy(timeOfDay()));
  setUnfinished(First, {{"s1", Earlier}, {"s2", origin("v1")}});
  pass({First, Second}, seconds(1));
  CHECK(find(Second, "s1") == OriginAnswer{Earlier, OriginSource::Record});
  CHECK(find(Second, "s2") == OriginAnswer{origin("v1"), OriginSource::Record});
  CHECK(find(Second, "unknown") == NotRecorded);
  CHECK(find(Second, "") == NotRecorded);
  SECTION("other routes are not concerned") {
    std::optional<OriginAnswer> Answer;
    Second->find({Writer, "other", "/stream/", ""}, timeOfDay(), Now_,
                 [&](OriginAnswer const &Found) { Answer = Found; });
    Store_.deliver();
    CHECK(Answer == OnlyVersion);
  }
  SECTION("an instance that was started after the move reads it") {
    auto const Role = GENERATE(HistoryRole::Keeps, HistoryRole::Reads);
    auto const Later = start("c", Role);
    CHECK(Later->isMixed(timeOfDay()));
    CHECK(find(Later, "s1") == OriginAnswer{Earlier, OriginSource::Record});
    CHECK(find(Later, "unknown") == NotRecorded);
    pass({First, Later}, seconds(31));
    CHECK_FALSE(Later->isMixed(timeOfDay()));
    CHECK(find(Later, "unknown") == OnlyVersion);
  }
  SECTION("later it decides again") {
    pass({First, Second}, seconds(31));
    CHECK_FALSE(First->isMixed(timeOfDay()));
    CHECK(find(Second, "unknown") == OnlyVersion);
  }
  SECTION("nor while the store is away") {
    Store_.Fault_ = StoreFault::Down;
    CHECK(find(Second, "s2") ==
          OriginAnswer{std::nullopt, OriginSource::StoreSilent});
  }
}

TEST_CASE_METHOD(OriginFixture,
                 "An instance whose configuration is older than the "
                 "recorded one does not decide by the only version") {
  Table_ = table(1, Writer);
  auto const Role = GENERATE(HistoryRole::Keeps, HistoryRole::Reads);
  auto const Late = start("a", Role);
  auto const Keeper = start("b");
  lead(2, Writer, {Keeper});
  CHECK(find(Late, "s1") == NotRecorded);
  pass({Late, Keeper}, seconds(31));
  CHECK(find(Late, "s1") == NotRecorded);
  CHECK(find(Keeper, "s1") == OnlyVersion);
  lead(2, Writer, {Late});
  CHECK(find(Late, "s1") == OnlyVersion);
}

TEST_CASE_METHOD(OriginFixture,
                 "A configuration that was changed while no instance "
                 "ran may have moved every route") {
  Table_ = table(1, Drafter);
  start("a");
  Table_ = table(3, Writer);
  auto const Role = GENERATE(HistoryRole::Keeps, HistoryRole::Reads);
  auto const First = start("b", Role);
  CHECK(find(First, "s1") == NotRecorded);
  pass({First}, seconds(1));
  // The first one that came back may have recorded the new configuration.
  auto const Second = start("c", Role);
  CHECK(find(Second, "s1") == NotRecorded);
  auto const Keeper = start("d");
  pass({First, Second, Keeper}, seconds(1));
  auto const Third = start("e", Role);
  CHECK(find(Third, "s1") == NotRecorded);
  pass({First, Second, Third, Keeper}, seconds(31));
  CHECK(find(First, "s1") == OnlyVersion);
  CHECK(find(Second, "s1") == OnlyVersion);
  CHECK(find(Third, "s1") == OnlyVersion);
  CHECK(find(start("f", Role), "s1") == OnlyVersion);
}

TEST_CASE_METHOD(OriginFixture,
                 "The versions are read from and written to the object "
                 "of older releases in its form") {
  std::string const Older = R"({"services":{"writer":{"v0":null,"v1":null}}})";
  Store_.Objects_.putIf(VersionsKey, 0, Older);
  Table_ = table(1, Writer);
  auto const LeftAt =
      std::chrono::duration_cast<milliseconds>(timeOfDay()).count();
  auto const First = start("a");
  CHECK(find(First, "s1") == NotRecorded);
  // The old version, which an older release has recorded, is no longer listed.
  pass({First}, seconds(1));
  CHECK(stored(VersionsKey) == R"({"services":{"writer":{"v0":)" +
                                   std::to_string(LeftAt) + R"(,"v1":null}}})");
  // A move does not touch it.
  auto const Written = stored(VersionsKey);
  lead(2, Drafter, {First});
  pass({First}, seconds(1));
  CHECK(stored(VersionsKey) == Written);
  auto const Moved = stored(MovesKey);
  CHECK(Moved.find("\"configuration\":2") != std::string::npos);
  // An older release writes on, and knows nothing of the other object.
  auto const Version = Store_.Objects_.find(VersionsKey).Version_;
  Store_.Objects_.putIf(VersionsKey, Version,
                        R"({"services":{"writer":{"v1":null,"v2":null}}})");
  pass({First}, seconds(31));
  CHECK_FALSE(find(First, "s1").Origin_);
  CHECK(stored(MovesKey) == Moved);
}

TEST_CASE_METHOD(OriginFixture,
                 "An object of another writer holds no moved routes "
                 "and is replaced") {
  auto const *const Text = GENERATE(
      "", "[]", "3", "null", "\xff", "{}", R"({"configuration":"x"})",
      R"({"configuration":-1,"regions":[]})",
      R"({"configuration":1e300,"regions":[]})",
      R"({"configuration":true,"regions":[]})",
      R"({"configuration":9,"regions":[{"host":"host"}]})",
      R"({"configuration":9,"regions":[7]})",
      R"({"configuration":9,"regions":[{"host":1,"path_prefix":"/",)"
      R"("moved_ms":1}]})",
      R"({"configuration":9,"regions":[{"host":"host","path_prefix":"/",)"
      R"("moved_ms":"x"}]})");
  CAPTURE(Text);
  Store_.Objects_.putIf(MovesKey, 0, Text);
  Table_ = table(2, Writer);
  auto const First = start("a");
  pass({First}, seconds(1));
  CHECK_FALSE(First->isMixed(timeOfDay()));
  CHECK(find(First, "s1") == OnlyVersion);
  lead(3, Drafter, {First});
  lead(4, Writer, {First});
  pass({First}, seconds(1));
  CHECK(find(First, "s1") == NotRecorded);
  CHECK(find(start("b"), "s1") == NotRecorded);
}

TEST_CASE_METHOD(OriginFixture,
                 "A move that only an instance which keeps no history "
                 "has seen makes streams uncertain elsewhere") {
  Table_ = table(1, Writer);
  auto const Keeper = start("k");
  auto const Reader = start("r", HistoryRole::Reads);
  Reader->setTable(table(2, ServiceName("drafter")), timeOfDay(), Now_);
  setUnfinished(Reader, {{"s1", {ServiceName("drafter"), "d1"}}});
  SECTION("as the keeper has not applied it yet") {}
  SECTION("as the keeper went on to a later version") {
    Keeper->setTable(table(3, Writer), timeOfDay(), Now_);
    Store_.deliver();
  }
  CHECK(find(Keeper, "s1").Origin_ != origin("v1"));
}

TEST_CASE_METHOD(OriginFixture,
                 "A move that the keepers skipped is added to the "
                 "later version that they recorded") {
  Table_ = table(1, Writer);
  auto const Keeper = start("k");
  auto const Reader = start("r", HistoryRole::Reads);
  Reader->setTable(table(2, Drafter), timeOfDay(), Now_);
  lead(3, Writer, {Keeper});
  StreamOrigin const Earlier{Drafter, "d1"};
  setUnfinished(Reader, {{"s1", Earlier}});
  Store_.deliver();
  CHECK(stored(MovesKey).find("\"configuration\":3") != std::string::npos);
  CHECK(find(Keeper, "s1") == OriginAnswer{Earlier, OriginSource::Record});
  CHECK(find(start("c", HistoryRole::Reads), "s1").Origin_ == Earlier);
}

TEST_CASE_METHOD(OriginFixture,
                 "Instances that keep no history record a move that "
                 "the keepers lack once, and only with streams") {
  Table_ = table(1, Drafter);
  auto const Keeper = start("k");
  std::vector<Records> Readers;
  for (auto const *const Name : {"a", "b", "c", "d"})
    Readers.push_back(start(Name, HistoryRole::Reads));
  bool const DoesKeeperLag = GENERATE(false, true);
  if (!DoesKeeperLag)
    lead(2, Writer, {Keeper});
  auto const Recorded = Store_.Objects_.find(MovesKey).Version_;
  auto const Lists = Store_.Lists_;
  lead(2, Writer, Readers);
  pass(Readers, seconds(5));
  CHECK(Store_.Lists_ == Lists);
  CHECK(Store_.Objects_.find(MovesKey).Version_ == Recorded);
  for (auto const &Reader : Readers)
    setUnfinished(Reader, {{"s1", origin("v1")}});
  pass(Readers, seconds(5));
  CHECK(Store_.Lists_ - Lists == (DoesKeeperLag ? 3 : 4));
  auto const Written = stored(MovesKey);
  CHECK((Store_.Objects_.find(MovesKey).Version_ != Recorded) == DoesKeeperLag);
  pass(Readers, seconds(31));
  CHECK(Store_.Lists_ - Lists == (DoesKeeperLag ? 3 : 4));
  CHECK(stored(MovesKey) == Written);
}

TEST_CASE_METHOD(OriginFixture,
                 "Streams are not joined whatever configurations "
                 "move their route, are skipped and come late") {
  auto const Seed = GENERATE(range(1U, 41U));
  CAPTURE(Seed);
  std::mt19937 Generator(Seed);
  auto const Pick = [&](std::size_t Options) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Options - 1)(Generator);
  };
  Listed_.push_back(server("d1"));
  Listed_.back().Service_ = Drafter;
  std::map<ServiceName, StreamOrigin> const Origins{{Writer, origin("v1")},
                                                    {Drafter, {Drafter, "d1"}}};
  constexpr std::size_t Count = 6;
  std::vector<ServiceName> Configurations{Writer, Writer};
  std::vector<std::size_t> InForce(Count, 1);
  Table_ = table(1, Writer);
  std::vector<Records> Fleet;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.push_back(start("i" + std::to_string(Index),
                          Index < 2 ? HistoryRole::Keeps : HistoryRole::Reads));
  struct Begun {
    ServiceName Service_;
    TimePoint At_;
  };
  std::map<std::string, Begun> Streams;
  std::vector<std::vector<BegunStream>> Unfinished(Count);
  std::size_t GoneOn = 0;
  for (unsigned Step = 0; Step < 150; ++Step) {
    if (Pick(12) == 0)
      Configurations.push_back(Pick(2) == 0 ? Writer : Drafter);
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (InForce[Index] + 1 < Configurations.size() && Pick(4) == 0) {
        InForce[Index] = Configurations.size() - 1;
        Fleet[Index]->setTable(
            table(InForce[Index], Configurations[InForce[Index]]), timeOfDay(),
            Now_);
      }
    Store_.deliver();
    auto const Beginner = Pick(Count);
    auto const Name = "s" + std::to_string(Step);
    auto const &Service = Configurations[InForce[Beginner]];
    Streams.insert({Name, {Service, Now_}});
    Unfinished[Beginner].push_back({Name, Origins.at(Service)});
    if (Fleet[Beginner]->isMixed(timeOfDay()))
      setUnfinished(Fleet[Beginner], Unfinished[Beginner]);
    Store_.deliver();
    pass(Fleet, milliseconds(250 * (1 + Pick(4))));
    for (auto const &[Stream, First] : Streams) {
      if (Now_ - First.At_ >= seconds(15) || Pick(4) > 0)
        continue;
      auto const Finder = Pick(Count);
      std::optional<OriginAnswer> Answer;
      Fleet[Finder]->find(
          {Configurations[InForce[Finder]], "host", "/stream/", Stream},
          timeOfDay(), Now_,
          [&](OriginAnswer const &Found) { Answer = Found; });
      Store_.deliver();
      while (!Answer)
        pass(Fleet, Tick);
      CAPTURE(Step, Stream, Finder);
      if (Answer->Origin_)
        CHECK(*Answer->Origin_ == Origins.at(First.Service_));
      GoneOn += Answer->Origin_ ? 1 : 0;
    }
  }
  CHECK(GoneOn > 0);
}

TEST_CASE_METHOD(OriginFixture, "A later move of a route whose earlier move is "
                                "recorded is recorded too") {
  Listed_.push_back(server("d1"));
  Listed_.back().Service_ = Drafter;
  Table_ = table(1, Writer);
  auto const Keeper = start("k");
  auto const Reader = start("r", HistoryRole::Reads);
  lead(2, Drafter, {Keeper, Reader});
  pass({Keeper, Reader}, seconds(10));
  lead(4, Drafter, {Keeper});
  pass({Keeper, Reader}, seconds(2));
  Reader->setTable(table(3, Writer), timeOfDay(), Now_);
  Store_.deliver();
  setUnfinished(Reader, {{"s1", origin("v1")}});
  Store_.deliver();
  pass({Keeper, Reader}, seconds(1));
  Reader->setTable(table(4, Drafter), timeOfDay(), Now_);
  Store_.deliver();
  pass({Keeper, Reader}, seconds(18));
  std::optional<OriginAnswer> Answer;
  Keeper->find({Drafter, "host", "/stream/", "s1"}, timeOfDay(), Now_,
               [&](OriginAnswer const &Found) { Answer = Found; });
  Store_.deliver();
  for (int Ticks = 0; !Answer && Ticks < 40; ++Ticks)
    pass({Keeper, Reader}, Tick);
  REQUIRE(Answer);
  CAPTURE(stored(MovesKey));
  if (Answer->Origin_)
    CHECK(*Answer->Origin_ == origin("v1"));
}

TEST_CASE_METHOD(OriginFixture,
                 "A stream that a lagging instance begins 30 s after "
                 "its route has moved is not continued elsewhere") {
  Table_ = table(1, Drafter);
  auto const Keeper = start("k");
  auto const Late = start("l", HistoryRole::Reads);
  lead(2, Writer, {Keeper});
  pass({Keeper, Late}, seconds(31));
  setUnfinished(Late, {{"s1", {Drafter, "d1"}}});
  CHECK(find(Keeper, "s1").Origin_ != origin("v1"));
}
