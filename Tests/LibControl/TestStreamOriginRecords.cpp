#include <Fakes/FakeAsyncStore.h>

#include <LibControl/StreamOriginRecords.h>

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace laburnum;
using test::FakeAsyncStore;
using test::StoreFault;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using HistoryRole = StreamOriginRecords::HistoryRole;
using PeerReach = StreamOriginRecords::PeerReach;

constexpr Duration Epoch = std::chrono::hours(490000);
constexpr milliseconds Tick{250};
ServiceName const Writer("writer");

ServerRecord server(std::string const &Version) {
  ServerRecord Made;
  Made.Id_ = ServerId(Version);
  Made.Service_ = Writer;
  Made.SoftwareVersion_ = Version;
  return Made;
}

/// A configuration that leads the host's streams to a service.
std::shared_ptr<RouteTable const> table(std::uint64_t Version,
                                        ServiceName const &Service) {
  Route Made;
  Made.Host_ = "host";
  Made.PathPrefix_ = "/stream/";
  Made.Services_ = {{Service, 1}};
  return std::make_shared<RouteTable>(
      Version, std::vector<Route>{Made}, std::vector<RoutedService>(),
      std::vector<RoutedAccount>(), ClientBounds());
}

ObjectKey const VersionsKey{"entry-software-versions", "history"};
ObjectKey const MovesKey{"entry-software-versions", "moved-routes"};

struct Fixture {
  using Records = std::shared_ptr<StreamOriginRecords>;

  Duration timeOfDay() const { return Epoch + Now_.time_since_epoch(); }

  /// Starts an instance, or a later incarnation of it.
  Records start(std::string const &Name,
                HistoryRole Role = HistoryRole::Keeps) {
    auto Made = std::make_shared<StreamOriginRecords>(
        Store_, Name,
        [this](Duration, StreamOriginRecords::ServerListDone const &Done) {
          if (IsListReadable_)
            Done(Listed_);
          else
            Done(std::nullopt);
        });
    Made->setPeers(PeerReach::Most, 1);
    if (Table_)
      Made->setTable(Table_, timeOfDay(), Now_);
    Made->setListed(Listed_, timeOfDay(), Now_);
    Made->setHistoryRole(Role, timeOfDay(), Now_);
    Store_.deliver();
    return Made;
  }
  void list(std::vector<std::string> const &Versions,
            std::vector<Records> const &Instances) {
    Listed_.clear();
    for (auto const &Version : Versions)
      Listed_.push_back(server(Version));
    for (auto const &Instance : Instances)
      Instance->setListed(Listed_, timeOfDay(), Now_);
    Store_.deliver();
  }
  /// Puts a configuration in force.
  void lead(std::uint64_t Version, ServiceName const &Service,
            std::vector<Records> const &Instances) {
    Table_ = table(Version, Service);
    for (auto const &Instance : Instances)
      Instance->setTable(Table_, timeOfDay(), Now_);
    Store_.deliver();
  }
  std::string stored(ObjectKey const &Key) const {
    return Store_.Objects_.find(Key).Value_;
  }
  void pass(std::vector<Records> const &Instances, Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End;) {
      Now_ += Tick;
      for (auto const &Instance : Instances)
        Instance->tick(timeOfDay(), Now_);
      Store_.deliver();
    }
  }
  void setUnfinished(Records const &Instance,
                     std::vector<BegunStream> const &Streams) const {
    Instance->setUnfinished(Streams, timeOfDay(), Now_);
  }
  OriginAnswer find(Records const &Instance, std::string const &Stream) {
    std::optional<OriginAnswer> Answer;
    Instance->find({Writer, "host", "/stream/", Stream}, timeOfDay(), Now_,
                   [&](OriginAnswer const &Found) { Answer = Found; });
    Store_.deliver();
    for (int Ticks = 0; !Answer && Ticks < 40; ++Ticks)
      pass({Instance}, Tick);
    REQUIRE(Answer);
    return *Answer;
  }

  FakeAsyncStore Store_;
  TimePoint Now_{seconds(100)};
  std::vector<ServerRecord> Listed_{server("v1")};
  std::shared_ptr<RouteTable const> Table_;
  bool IsListReadable_ = true; ///< By reads of single instances.
};

StreamOrigin origin(std::string const &Version) { return {Writer, Version}; }

ServiceName const Drafter("drafter");
OriginAnswer const NotRecorded{std::nullopt, OriginSource::NotRecorded};
OriginAnswer const OnlyVersion{origin("v1"), OriginSource::OnlyVersion};

} // namespace

TEST_CASE_METHOD(Fixture, "With one version a stream goes on at it, and "
                          "nothing is written for streams") {
  auto const First = start("a");
  auto const Second = start("b", HistoryRole::Reads);
  setUnfinished(First, {{"s1", origin("v1")}});
  pass({First, Second}, seconds(5));
  CHECK(find(Second, "s1").Origin_ == origin("v1"));
  CHECK(find(Second, "").Origin_ == origin("v1"));
  CHECK(Store_.Objects_.list("entry-streams").Objects_.empty());
}

TEST_CASE_METHOD(Fixture, "With two versions the origin is known by the "
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

TEST_CASE_METHOD(Fixture, "A version that was replaced while no instance was "
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

TEST_CASE_METHOD(Fixture, "A stream that its instance is about to record is "
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

TEST_CASE_METHOD(Fixture, "While the store is away, streams go on where one "
                          "version serves and most peers are in reach") {
  auto const First = start("a");
  bool const IsMixed = GENERATE(false, true);
  if (IsMixed)
    list({"v1", "v2"}, {First});
  auto const Reach = GENERATE(PeerReach::Few, PeerReach::Most);
  First->setPeers(Reach, 1);
  Store_.Fault_ = StoreFault::Down;
  auto const Answer = find(First, "s1");
  bool const GoesOn = !IsMixed && Reach == PeerReach::Most;
  CHECK(Answer.Origin_.has_value() == GoesOn);
  CHECK(Answer.Source_ ==
        (GoesOn ? OriginSource::OnlyVersion : OriginSource::StoreSilent));
}

TEST_CASE_METHOD(Fixture, "The history is written again after the store was "
                          "restored from an older copy") {
  auto const Older = Store_.Objects_;
  auto const First = start("a");
  Store_.Objects_ = Older;
  First->onStoreRestored(timeOfDay(), Now_);
  Store_.deliver();
  Listed_ = {server("v2")};
  CHECK_FALSE(find(start("b"), "s1").Origin_);
}

TEST_CASE_METHOD(Fixture, "Objects of another writer hold no origins") {
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

TEST_CASE_METHOD(Fixture, "Streams are not joined whatever instances and "
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
    Made->setPeers(PeerReach::Most, Count);
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

// Guards against a stream of a new version that goes on at the old one: the
// instance had not heard of the new one while it was out of step.
TEST_CASE_METHOD(Fixture, "An instance whose server list is outdated reads it "
                          "before it relies on a single version") {
  auto const Stale = start("a", HistoryRole::Reads);
  pass({Stale}, seconds(1));
  CHECK(find(Stale, "s1").Origin_ == origin("v1"));
  // No keeper has recorded the new version yet.
  Listed_.push_back(server("v2"));
  Stale->setListAge(StreamOriginRecords::ListAge::Outdated);
  IsListReadable_ = GENERATE(true, false);
  auto const Answer = find(Stale, "s1");
  CHECK_FALSE(Answer.Origin_);
  CHECK(Answer.Source_ == (IsListReadable_ ? OriginSource::NotRecorded
                                           : OriginSource::StoreSilent));
}

TEST_CASE_METHOD(Fixture, "With an unmoved route the only version decides, and "
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

TEST_CASE_METHOD(Fixture,
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

TEST_CASE_METHOD(Fixture, "An instance whose configuration is older than the "
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

TEST_CASE_METHOD(Fixture, "A configuration that was changed while no instance "
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

TEST_CASE_METHOD(Fixture,
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

TEST_CASE_METHOD(Fixture, "An object of another writer holds no moved routes "
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

TEST_CASE_METHOD(Fixture, "A move that only an instance which keeps no history "
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

TEST_CASE_METHOD(Fixture, "A move that the keepers skipped is added to the "
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

TEST_CASE_METHOD(Fixture, "Instances that keep no history record a move that "
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

TEST_CASE_METHOD(Fixture, "Streams are not joined whatever configurations "
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

TEST_CASE_METHOD(Fixture, "A later move of a route whose earlier move is "
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

TEST_CASE_METHOD(Fixture, "A stream that a lagging instance begins 30 s after "
                          "its route has moved is not continued elsewhere") {
  Table_ = table(1, Drafter);
  auto const Keeper = start("k");
  auto const Late = start("l", HistoryRole::Reads);
  lead(2, Writer, {Keeper});
  pass({Keeper, Late}, seconds(31));
  setUnfinished(Late, {{"s1", {Drafter, "d1"}}});
  CHECK(find(Keeper, "s1").Origin_ != origin("v1"));
}
