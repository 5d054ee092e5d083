#include <LibFleet/ConfigurationStore.h>

#include <LibFleet/StoredConfiguration.h>
#include <LibModel/JsonCodec.h>

#include <catch2/catch.hpp>

#include <deque>

using namespace laburnum;
using namespace laburnum::configuration;

namespace {

ConfigurationObject object(std::string const &Name, Version At,
                           std::int32_t Priority = 0) {
  Service Specified;
  Specified.Name_ = ServiceName(Name);
  Specified.Priority_ = Priority;
  return {{ObjectKind::Service, Name}, At, false, encodeJson(Specified)};
}

StoredObject stored(ConfigurationObject const &Object) {
  StoredConfiguration Value;
  Value.Specification_ = Object.Specification_;
  Value.IsDeleted_ = Object.IsDeleted_;
  return {
      {"service", Object.Name_.Name_}, Object.Version_, encodeStored(Value)};
}

EntryInstance instance(std::size_t Number, std::size_t DataCentres) {
  EntryInstance Made;
  Made.Id_ = InstanceId("i" + std::to_string(Number));
  Made.DataCentre_ = DataCentre("d" + std::to_string(Number % DataCentres));
  Made.Peers_ = {"10.0.0.1", static_cast<std::uint16_t>(Number + 1)};
  return Made;
}

template <typename Kind>
std::vector<Kind> only(std::vector<Action> const &Actions) {
  std::vector<Kind> Found;
  for (auto const &Each : Actions)
    if (auto const *Match = std::get_if<Kind>(&Each))
      Found.push_back(*Match);
  return Found;
}

/// Stores that exchange their messages through one queue.
struct Fleet {
  Fleet(std::size_t Count, std::size_t DataCentres) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      auto const Self = instance(Each, DataCentres);
      Members_.push_back({Self, Liveness::Live, 0, 0});
      Stores_.emplace_back(Settings{Self, Each});
    }
    for (std::size_t Each = 0; Each < Count; ++Each)
      feed(Each, configuration::MembersChanged{Members_});
  }

  std::vector<Action> feed(std::size_t Number, Event const &Event) {
    auto Actions = Stores_[Number].handle(Event, Now_);
    for (auto const &Each : only<SendToPeer>(Actions))
      Queue_.push_back(Each);
    return Actions;
  }

  /// Delivers all messages except those for which IsLost returns true. Returns
  /// the number of all messages, lost ones included.
  template <typename Loss> std::size_t deliver(Loss const &IsLost) {
    std::size_t Count = 0;
    for (; !Queue_.empty(); ++Count) {
      auto const Next = Queue_.front();
      Queue_.pop_front();
      if (!IsLost(Next))
        receive(Next.To_.Port_ - 1U, Next.Message_);
    }
    return Count;
  }
  std::size_t deliver() {
    return deliver([](SendToPeer const &) { return false; });
  }

  void receive(std::size_t Number, PeerMessage const &Message) {
    if (auto const *Objects = std::get_if<ConfigurationObjects>(&Message))
      feed(Number, ObjectsFromPeer{*Objects});
    if (auto const *Digest = std::get_if<ConfigurationDigest>(&Message))
      feed(Number, DigestFromPeer{*Digest});
    if (auto const *Request = std::get_if<ConfigurationRequest>(&Message))
      feed(Number, RequestFromPeer{*Request});
  }

  void advance(Duration Span) {
    Now_ += Span;
    for (std::size_t Each = 0; Each < Stores_.size(); ++Each)
      feed(Each, TimePassed{});
  }

  bool agree(Version At) const {
    return std::all_of(Stores_.begin(), Stores_.end(), [&](auto const &One) {
      return One.version() == At && One.digest() == Stores_[0].digest();
    });
  }

  TimePoint Now_;
  std::vector<Member> Members_;
  std::deque<ConfigurationStore> Stores_;
  std::deque<SendToPeer> Queue_;
};

} // namespace

TEST_CASE("An old version from any source never reverts a newer one") {
  ConfigurationStore Store({instance(0, 1), 1});
  Store.handle(ObjectsFromPeer{{{object("a", 9, 1)}}}, {});
  auto const Digest = Store.digest();
  auto const FromPeer =
      Store.handle(ObjectsFromPeer{{{object("a", 8, 2)}}}, {});
  auto const FromStore = Store.handle(
      CollectionListed{ObjectKind::Service, {12, {stored(object("a", 7))}}},
      {});
  auto const Same = Store.handle(LocalChangeAccepted{object("a", 9, 3)}, {});
  CHECK(only<SnapshotChanged>(FromPeer).empty());
  CHECK(only<SnapshotChanged>(FromStore).empty());
  CHECK(only<SnapshotChanged>(Same).empty());
  CHECK(Store.snapshot()->service(ServiceName("a"))->Priority_ == 1);
  CHECK(Store.digest() == Digest);
}

TEST_CASE("A tombstone prevents the return of an older version") {
  ConfigurationStore Store({instance(0, 1), 1});
  auto Deleted = object("a", 5);
  Deleted.IsDeleted_ = true;
  Store.handle(ObjectsFromPeer{{{Deleted}}}, {});
  Store.handle(ObjectsFromPeer{{{object("a", 4)}}}, {});
  CHECK(Store.snapshot()->service(ServiceName("a")) == nullptr);
}

TEST_CASE("The digest does not depend on the order of objects") {
  ConfigurationStore Left({instance(0, 1), 1});
  ConfigurationStore Right({instance(1, 1), 2});
  Left.handle(ObjectsFromPeer{{{object("a", 1), object("b", 2)}}}, {});
  Right.handle(ObjectsFromPeer{{{object("b", 2)}}}, {});
  CHECK(Left.digest() != Right.digest());
  Right.handle(ObjectsFromPeer{{{object("a", 1)}}}, {});
  CHECK(Left.digest() == Right.digest());
}

TEST_CASE("The store lists, watches, and lists again after a gap") {
  ConfigurationStore Store({instance(0, 1), 1});
  CHECK(only<ListCollection>(Store.handle(TimePassed{}, {})).size() == 3);
  CHECK(only<ListCollection>(Store.handle(TimePassed{}, {})).empty());
  auto const Kind = ObjectKind::Service;
  auto const Listed =
      Store.handle(CollectionListed{Kind, {4, {stored(object("a", 3))}}}, {});
  REQUIRE(only<WatchCollection>(Listed).size() == 1);
  CHECK(only<WatchCollection>(Listed).front() == WatchCollection{Kind, 4});
  auto const Gap =
      Store.handle(CollectionWatched{Kind, {WatchContinuity::Gap, 9, {}}}, {});
  CHECK(only<ListCollection>(Gap).size() == 1);
  CHECK(only<ListCollection>(Store.handle(PlatformFailed{Kind}, {})).empty());
  auto const Later = Store.handle(TimePassed{}, TimePoint(Duration(1'000'000)));
  CHECK(only<ListCollection>(Later).size() == 1);
}

TEST_CASE("A restored store raises one alarm and changes nothing") {
  ConfigurationStore Store({instance(0, 1), 1});
  auto const Kind = ObjectKind::Service;
  Store.handle(CollectionListed{Kind, {9, {stored(object("a", 9, 1))}}}, {});
  std::size_t Alarms = 0;
  for (int Each = 0; Each < 6; ++Each) {
    auto const Actions = Store.handle(
        CollectionListed{Kind, {5, {stored(object("a", 5, 2))}}}, {});
    Alarms += only<RaiseAlarm>(Actions).size();
    CHECK((Each >= 2 || only<RaiseAlarm>(Actions).empty()));
  }
  CHECK(Alarms == 1);
  CHECK(Store.snapshot()->service(ServiceName("a"))->Priority_ == 1);
}

TEST_CASE("Two instances of each data centre watch, and others take over") {
  Fleet Fleet(12, 3);
  auto const Watchers = [&](std::string const &Where) {
    std::vector<std::size_t> Found;
    for (std::size_t Each = 0; Each < 12; ++Each)
      if (Fleet.Members_[Each].Instance_.DataCentre_ == DataCentre(Where) &&
          Fleet.Members_[Each].Liveness_ == Liveness::Live &&
          Fleet.Stores_[Each].isWatcher())
        Found.push_back(Each);
    return Found;
  };
  auto const Before = Watchers("d1");
  REQUIRE(Before.size() == 2);
  Fleet.Members_[Before[0]].Liveness_ = Liveness::Gone;
  std::size_t Lists = 0;
  for (std::size_t Each = 0; Each < 12; ++Each)
    Lists +=
        only<ListCollection>(
            Fleet.feed(Each, configuration::MembersChanged{Fleet.Members_}))
            .size();
  auto const After = Watchers("d1");
  CHECK(After.size() == 2);
  CHECK(After != Before);
  CHECK(Lists == 3);
}

TEST_CASE("An update reaches 410 instances with few messages from each") {
  Fleet Fleet(410, 3);
  Fleet.deliver();
  Fleet.feed(17, LocalChangeAccepted{object("a", 5)});
  CHECK(Fleet.Queue_.size() <= 12);
  auto const Messages = Fleet.deliver();
  CHECK(Fleet.agree(5));
  CHECK(Messages <= 820);
}

TEST_CASE("Digests repair updates that the broadcast lost") {
  Fleet Fleet(60, 3);
  Fleet.deliver();
  std::size_t Count = 0;
  Fleet.feed(0, LocalChangeAccepted{object("a", 5)});
  Fleet.deliver([&](SendToPeer const &) { return ++Count % 2 == 0; });
  CHECK(!Fleet.agree(5));
  for (int Round = 0; Round < 10 && !Fleet.agree(5); ++Round) {
    Fleet.advance(std::chrono::seconds(2));
    Fleet.deliver();
  }
  CHECK(Fleet.agree(5));
}

TEST_CASE("An instance that starts in an outage syncs from a peer") {
  Fleet Fleet(3, 3);
  Fleet.feed(0, ObjectsFromPeer{{{object("a", 4), object("b", 6)}}});
  Fleet.deliver();
  Fleet.feed(1, ObjectsFromPeer{{{object("a", 4), object("b", 6)}}});
  Fleet.deliver();
  Fleet.Stores_[2] = ConfigurationStore({instance(2, 3), 9});
  Fleet.feed(2, configuration::MembersChanged{Fleet.Members_});
  for (auto const Kind : {ObjectKind::Service, ObjectKind::Account})
    Fleet.feed(2, PlatformFailed{Kind});
  Fleet.deliver();
  CHECK(Fleet.agree(6));
  CHECK(Fleet.Stores_[2].snapshot()->services().size() == 2);
}

TEST_CASE("Partitioned stores that diverged agree after the partition heals") {
  Fleet Fleet(2, 2);
  Fleet.feed(0, ObjectsFromPeer{{{object("a", 4), object("c", 1)}}});
  Fleet.feed(1, ObjectsFromPeer{{{object("b", 6), object("c", 2)}}});
  Fleet.Queue_.clear();
  Fleet.advance(std::chrono::seconds(2));
  Fleet.Queue_.pop_back();
  Fleet.deliver();
  CHECK(Fleet.agree(6));
  CHECK(Fleet.Stores_[0].snapshot()->services().size() == 3);
}
