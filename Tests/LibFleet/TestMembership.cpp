#include <LibFleet/Membership.h>

#include <LibFleet/ConfigurationStore.h>
#include <LibPeer/PeerCodec.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <set>

using namespace laburnum;
using namespace laburnum::membership;

namespace {

constexpr Duration Step = std::chrono::milliseconds(200);

EntryInstance instance(std::size_t Number) {
  EntryInstance Made;
  auto const Port = static_cast<std::uint16_t>(Number + 1);
  Made.Id_ = InstanceId("entry-north-" + std::to_string(1000 + Number));
  Made.DataCentre_ = DataCentre("north-" + std::to_string(Number % 3));
  Made.Callers_ = {"10.111.112.113", 8080};
  Made.Peers_ = {"10.111.112.113", Port};
  Made.Operators_ = {"10.111.112.113", 9090};
  return Made;
}

/// Simulated members on one clock, whose messages arrive at the next step.
/// Nodes can be down, and the fleet can be partitioned into Parts_.
struct Fleet {
  explicit Fleet(std::size_t Count) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      Settings Subject;
      Subject.Self_ = instance(Each);
      Subject.Seed_ = Each;
      Subject.Seeds_ = {instance(0).Peers_, instance(1).Peers_};
      Nodes_.emplace_back(Subject);
    }
    Parts_.resize(Count, 0);
  }

  void feed(std::size_t Number, Event const &Event) {
    for (auto const &Each : Nodes_[Number].handle(Event, Now_)) {
      auto const *Sent = std::get_if<SendToPeer>(&Each);
      if (!Sent)
        continue;
      Bytes_ += valueOf(encodePeerFrame(Sent->Message_)).size();
      if (Links_.insert({Number, Sent->To_.Port_}).second)
        Bytes_ += HelloBytes_;
      Queue_.emplace_back(Number, *Sent);
    }
  }

  void listAll() {
    InstanceListing Listing;
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each)
      Listing.EntryInstances_.push_back({instance(Each), Liveness::Live});
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each)
      feed(Each, InstancesListed{Listing});
  }

  void step() {
    Now_ += Step;
    auto const Arriving = std::exchange(Queue_, {});
    for (auto const &[From, Sent] : Arriving) {
      auto const To = Sent.To_.Port_ - 1U;
      if (Down_.contains(To) || Parts_[From] != Parts_[To])
        continue;
      auto const Frame = valueOf(encodePeerFrame(Sent.Message_));
      auto const Decoded = decodePeerBody(Frame.substr(PeerHeaderSize));
      feed(To, HeartbeatFromPeer{instance(From).Id_,
                                 std::get<Heartbeat>(valueOf(Decoded))});
    }
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each)
      if (!Down_.contains(Each))
        feed(Each, TimePassed{});
  }

  template <typename Condition>
  bool runUntil(Condition const &IsMet, int Seconds) {
    for (int Each = 0; Each < Seconds * 5 && !IsMet(); ++Each)
      step();
    return IsMet();
  }

  Liveness seen(std::size_t By, std::size_t Number) const {
    for (auto const &One : Nodes_[By].members())
      if (One.Instance_.Id_ == instance(Number).Id_)
        return One.Liveness_;
    return Liveness::Gone;
  }

  /// Whether each node that is up sees node Number in the given state.
  bool allSee(std::size_t Number, Liveness State) const {
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each)
      if (!Down_.contains(Each) && seen(Each, Number) != State)
        return false;
    return true;
  }

  bool allLive() const {
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each)
      if (!allSee(Each, Liveness::Live))
        return false;
    return true;
  }

  TimePoint Now_;
  std::deque<Membership> Nodes_;
  std::vector<int> Parts_;
  std::set<std::size_t> Down_;
  std::vector<std::pair<std::size_t, SendToPeer>> Queue_;
  std::uint64_t Bytes_ = 0;
  /// Connections opened since the last idle timeout; each costs a Hello.
  std::set<std::pair<std::size_t, std::size_t>> Links_;
  std::uint64_t HelloBytes_ =
      valueOf(encodePeerFrame(Hello{std::string(32, 's'), instance(0)})).size();
};

} // namespace

TEST_CASE("Instances find each other through seeds") {
  Fleet Fleet(20);
  CHECK(Fleet.runUntil([&] { return Fleet.allLive(); }, 60));
}

TEST_CASE("A crashed instance is gone everywhere and the others stay live") {
  Fleet Fleet(20);
  Fleet.listAll();
  Fleet.Down_.insert(7);
  CHECK(Fleet.runUntil([&] { return Fleet.allSee(7, Liveness::Gone); }, 60));
  for (std::size_t Each = 0; Each < 20; ++Each)
    if (Each != 7)
      CHECK(Fleet.allSee(Each, Liveness::Live));
}

TEST_CASE("A false suspicion is refuted with a higher incarnation") {
  Fleet Fleet(5);
  Fleet.listAll();
  MemberUpdate const Suspicion{instance(2), MemberState::Suspect, 0, 0, 0};
  MemberUpdate const Sender{instance(1), MemberState::Alive, 0, 0, 0};
  Fleet.feed(0, HeartbeatFromPeer{
                    instance(1).Id_,
                    {HeartbeatKind::Gossip, 0, {}, {Sender, Suspicion}}});
  for (int Each = 0; Each < 5 * 30; ++Each) {
    Fleet.step();
    CHECK(Fleet.allSee(2, Liveness::Live));
  }
}

TEST_CASE("A leaving instance is seen as leaving before it is gone") {
  Fleet Fleet(20);
  Fleet.listAll();
  Fleet.feed(3, LocalInstanceLeaving{});
  CHECK(Fleet.runUntil([&] { return Fleet.allSee(3, Liveness::Leaving); }, 15));
  Fleet.Down_.insert(3);
  CHECK(Fleet.runUntil([&] { return Fleet.allSee(3, Liveness::Gone); }, 60));
}

TEST_CASE("A lagging list does not revive a gone instance") {
  Fleet Fleet(5);
  Fleet.listAll();
  Fleet.Down_.insert(4);
  REQUIRE(Fleet.runUntil([&] { return Fleet.allSee(4, Liveness::Gone); }, 60));
  Fleet.listAll();
  CHECK(Fleet.allSee(4, Liveness::Gone));
}

TEST_CASE("A partitioned data centre is gone and then rejoins") {
  Fleet Fleet(30);
  Fleet.listAll();
  for (std::size_t Each = 0; Each < 30; Each += 3)
    Fleet.Parts_[Each] = 1;
  auto const IsCut = [&] {
    for (std::size_t By = 0; By < 30; ++By)
      for (std::size_t Each = 0; Each < 30; ++Each)
        if (Fleet.Parts_[By] != Fleet.Parts_[Each] &&
            Fleet.seen(By, Each) != Liveness::Gone)
          return false;
    return true;
  };
  REQUIRE(Fleet.runUntil(IsCut, 120));
  Fleet.Parts_.assign(30, 0);
  CHECK(Fleet.runUntil([&] { return Fleet.allLive(); }, 120));
}

TEST_CASE("Members learn which configuration each one holds") {
  Fleet Fleet(20);
  Fleet.listAll();
  Fleet.feed(5, LocalConfigurationChanged{9, 77});
  auto const IsKnown = [&] {
    for (auto const &Node : Fleet.Nodes_)
      if (Node.members()[5].ConfigurationVersion_ != 9 ||
          Node.members()[5].ConfigurationDigest_ != 77)
        return false;
    return true;
  };
  CHECK(Fleet.runUntil(IsKnown, 30));
}

TEST_CASE("The time of the last message stays while a member is silent") {
  Fleet Fleet(5);
  Fleet.listAll();
  for (int Each = 0; Each < 5 * 10; ++Each)
    Fleet.step();
  Fleet.Down_.insert(4);
  auto const Silent = Fleet.Now_;
  for (int Each = 0; Each < 5 * 20; ++Each)
    Fleet.step();
  auto const Members = Fleet.Nodes_[0].members();
  CHECK(Members[0].LastReceivedAt_ == Fleet.Now_);
  CHECK(Members[1].LastReceivedAt_ > Silent);
  CHECK(Members[4].LastReceivedAt_ <= Silent + Step);
}

namespace {

/// Changes the configuration versions of all members at once and prints how
/// long it takes until all members know them.
void measureDissemination(std::size_t Count) {
  Fleet Fleet(Count);
  Fleet.listAll();
  for (std::size_t Each = 0; Each < Count; ++Each)
    Fleet.feed(Each, LocalConfigurationChanged{9, 77});
  auto const Known = [&](std::size_t By) {
    for (auto const &One : Fleet.Nodes_[By].members())
      if (One.ConfigurationVersion_ != 9)
        return false;
    return true;
  };
  auto const Start = Fleet.Now_;
  auto const Seconds = [&] {
    return std::chrono::duration_cast<std::chrono::seconds>(Fleet.Now_ - Start)
        .count();
  };
  REQUIRE(Fleet.runUntil([&] { return Known(0); }, 600));
  std::cout << Count << " members: one knows all others' versions after "
            << Seconds() << " s\n";
  // Versions only grow, so a member that knows them all keeps knowing them.
  std::size_t First = 0;
  auto const AllKnow = [&] {
    while (First < Count && Known(First))
      ++First;
    return First == Count;
  };
  REQUIRE(Fleet.runUntil(AllKnow, 600));
  std::cout << Count << " members: all know all versions after " << Seconds()
            << " s\n";
}

} // namespace

TEST_CASE("All members learn the configuration versions of all others") {
  measureDissemination(100);
}

// Takes half a minute of CPU time, so it only runs by name.
TEST_CASE("All of 410 members learn the configuration versions of all others",
          "[.measurement]") {
  measureDissemination(410);
}

TEST_CASE("Traffic of 410 members stays within 3 KB a second for each") {
  constexpr std::size_t Count = 410;
  constexpr int Seconds = 20; // The transport's idle timeout.
  Fleet Fleet(Count);
  Fleet.listAll();
  Fleet.Down_ = {1, 2, 3};
  for (int Each = 0; Each < 5 * Seconds; ++Each)
    Fleet.step();
  Fleet.Bytes_ = 0;
  Fleet.Links_.clear();
  for (int Each = 0; Each < 5 * Seconds; ++Each)
    Fleet.step();
  auto const Digest = valueOf(encodePeerFrame(
      ConfigurationDigest{1U << 30U, ~std::uint64_t(0), instance(0).Peers_}));
  auto const Sent = static_cast<double>(Fleet.Bytes_) / Count / Seconds +
                    (static_cast<double>(Digest.size()) +
                     static_cast<double>(Fleet.HelloBytes_)) /
                        2;
  std::cout << "410 members: each sends " << Sent << " B/s and receives as "
            << "many, frames and Hellos with digests\n";
  CHECK(2 * Sent <= 3000);
  for (std::size_t Each = 4; Each < Count; ++Each)
    CHECK(Fleet.seen(0, Each) == Liveness::Live);
}

namespace {

/// A later incarnation of the instance, at the same endpoint.
EntryInstance laterIncarnation(std::size_t Number) {
  auto Made = instance(Number);
  Made.Id_ = InstanceId(Made.Id_.text() + ".later");
  return Made;
}

Heartbeat gossipOf(EntryInstance const &About) {
  Heartbeat Message{HeartbeatKind::Gossip, 0, {}, {}};
  MemberUpdate Update;
  Update.Instance_ = About;
  Message.Updates_.push_back(Update);
  return Message;
}

std::optional<Liveness> livenessOf(Membership const &Subject,
                                   EntryInstance const &Wanted) {
  for (auto const &One : Subject.members())
    if (One.Instance_ == Wanted)
      return One.Liveness_;
  return std::nullopt;
}

struct Restart {
  Restart() : Members_(settings()) {
    Members_.handle(InstancesListed{{{{instance(1), Liveness::Live}}, {}}},
                    Now_);
  }
  static Settings settings() {
    Settings Subject;
    Subject.Self_ = instance(0);
    return Subject;
  }

  Membership Members_;
  TimePoint Now_{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(Restart,
                 "A message of a new incarnation ends the previous one") {
  Members_.handle(
      HeartbeatFromPeer{laterIncarnation(1).Id_, gossipOf(laterIncarnation(1))},
      Now_);
  CHECK(livenessOf(Members_, laterIncarnation(1)) == Liveness::Live);
  CHECK(livenessOf(Members_, instance(1)) == Liveness::Gone);
  // A lagging list does not revive the previous incarnation.
  Members_.handle(InstancesListed{{{{instance(1), Liveness::Live}}, {}}}, Now_);
  CHECK(livenessOf(Members_, instance(1)) == Liveness::Gone);
}

TEST_CASE_METHOD(Restart,
                 "Gossip of another incarnation ends none just heard from") {
  Members_.handle(HeartbeatFromPeer{instance(1).Id_, gossipOf(instance(1))},
                  Now_);
  auto Message = gossipOf(instance(2));
  Message.Updates_.push_back(gossipOf(laterIncarnation(1)).Updates_.front());
  Members_.handle(HeartbeatFromPeer{instance(2).Id_, Message},
                  Now_ + std::chrono::milliseconds(500));
  CHECK(livenessOf(Members_, instance(1)) == Liveness::Live);
}

TEST_CASE_METHOD(Restart,
                 "A previous incarnation of the local instance is no member") {
  Members_.handle(
      InstancesListed{{{{laterIncarnation(0), Liveness::Live}}, {}}}, Now_);
  auto Message = gossipOf(instance(1));
  Message.Updates_.push_back(gossipOf(laterIncarnation(0)).Updates_.front());
  Members_.handle(HeartbeatFromPeer{instance(1).Id_, Message}, Now_);
  CHECK(livenessOf(Members_, laterIncarnation(0)) == std::nullopt);
}

TEST_CASE("An instance that was introduced by a peer joins through it, again "
          "if the join is lost") {
  Settings Subject;
  Subject.Self_ = instance(0);
  Membership Members(Subject);
  TimePoint Now{std::chrono::hours(1)};
  auto const Joins = [&](Event const &Event) {
    auto const Actions = Members.handle(Event, Now);
    return std::count_if(Actions.begin(), Actions.end(), [](auto const &Each) {
      auto const *Sent = std::get_if<SendToPeer>(&Each);
      return Sent && Sent->To_ == instance(1).Peers_ &&
             std::get<Heartbeat>(Sent->Message_).Kind_ == HeartbeatKind::Join;
    });
  };
  CHECK(Joins(TimePassed{}) == 0);
  CHECK(Joins(IntroducedByPeer{instance(1).Peers_}) == 1);
  Now += Subject.Period_;
  CHECK(Joins(TimePassed{}) == 1);
  Members.handle(HeartbeatFromPeer{instance(1).Id_, gossipOf(instance(1))},
                 Now);
  Now += Subject.Period_;
  CHECK(Joins(TimePassed{}) == 0);
}

TEST_CASE_METHOD(Restart,
                 "A gone instance is contacted though others that were "
                 "restarted often have gone incarnations") {
  auto Previous = instance(2);
  for (unsigned Each = 0; Each < 50; ++Each) {
    Previous.Id_ = InstanceId("restarted." + std::to_string(Each));
    Members_.handle(HeartbeatFromPeer{Previous.Id_, gossipOf(Previous)}, Now_);
  }
  auto Gone = gossipOf(instance(1));
  Gone.Updates_.front().State_ = MemberState::Gone;
  Gone.Updates_.insert(Gone.Updates_.begin(),
                       gossipOf(Previous).Updates_.front());
  Members_.handle(HeartbeatFromPeer{Previous.Id_, Gone}, Now_);
  REQUIRE(livenessOf(Members_, instance(1)) == Liveness::Gone);
  bool IsContacted = false;
  for (unsigned Each = 0; Each < 11; ++Each) {
    Now_ += std::chrono::seconds(1);
    for (auto const &Action : Members_.handle(TimePassed{}, Now_)) {
      auto const *Sent = std::get_if<SendToPeer>(&Action);
      if (!Sent)
        continue;
      IsContacted |= Sent->To_ == instance(1).Peers_;
      auto Answer = gossipOf(Previous);
      Answer.Kind_ = HeartbeatKind::Acknowledge;
      Answer.Sequence_ = std::get<Heartbeat>(Sent->Message_).Sequence_;
      if (Sent->To_ == Previous.Peers_)
        Members_.handle(HeartbeatFromPeer{Previous.Id_, Answer}, Now_);
    }
  }
  CHECK(IsContacted);
}
