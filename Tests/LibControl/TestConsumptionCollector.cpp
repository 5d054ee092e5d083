#include <LibTraffic/QuotaFixture.h>

#include <LibControl/ConsumptionCollector.h>
#include <LibPeer/PeerMessage.h>
#include <LibTraffic/AccountMeter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <set>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AccountName const Account("a");
constexpr double Rate = 100000.0;
/// Of the users' rule: what may be admitted beyond a quota in eight seconds.
constexpr double AllowedOverrun = 0.1;
constexpr double AllowedSlack = 140000.0;
/// What a large fleet has to serve, as a part of what a small one does.
constexpr double LeastServed = 0.9;
/// Messages of an instance that collects nothing, in a second.
constexpr std::size_t MostMessages = 15;
/// Reports that a collector hears in a second, at any size.
constexpr std::size_t MostCollected = 520;

/// Instances that serve one account; steps of 50 ms, which a message takes.
struct Fleet {
  static constexpr Duration Step = milliseconds(50);

  struct Instance {
    explicit Instance(EntryInstance const &Self)
        : Self_(Self), Collector_(Self),
          Meter_({milliseconds(250), 0.04, AllowedSlack * 0.3}) {}

    EntryInstance Self_;
    ConsumptionCollector Collector_;
    AccountMeter Meter_;
    TimePoint NextReport_{};
    bool IsRunning_ = true;
    bool IsCut_ = false;
    std::size_t Sent_ = 0;
    std::size_t Heard_ = 0;
  };

  explicit Fleet(std::size_t Count) {
    for (std::size_t Each = 0; Each < Count; ++Each)
      add(Each);
    tellMembers();
    pass(seconds(10), 0.0);
  }

  void add(std::size_t Number) {
    EntryInstance Self;
    Self.Id_ = InstanceId("i" + std::to_string(Number));
    Self.DataCentre_ = DataCentre("dc" + std::to_string(Number % 6));
    Self.Peers_ = {"h", static_cast<std::uint16_t>(Number)};
    auto &Made = Instances_.emplace_back(Self);
    Made.Meter_.setTable(test::tableWith(Rate), Now_);
    Made.NextReport_ = Now_ + Step * (Number % 20);
  }

  void tellMembers() {
    std::vector<Member> Members;
    for (auto const &One : Instances_)
      if (One.IsRunning_)
        Members.push_back({One.Self_, Liveness::Live, 0, 0, {}});
    for (auto &One : Instances_) {
      One.Collector_.setMembers(Members, Now_);
      One.Meter_.setRegistered(Instances_.size());
    }
  }

  /// Asks for so many tokens a second, in requests of 500, unevenly spread.
  void pass(Duration Length, double AskedPerSecond) {
    std::vector<double> Weights;
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      Weights.push_back(Instances_[Each].IsRunning_ ? 1.0 + Each % 5 : 0.0);
    std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                   Weights.end());
    constexpr double Size = 500.0;
    double Owed = 0.0;
    for (auto const End = Now_ + Length; Now_ < End;) {
      step();
      Owed += AskedPerSecond * std::chrono::duration<double>(Step).count();
      double Sum = 0.0;
      for (; Owed >= Size; Owed -= Size)
        if (!Instances_[Choose(Random_)].Meter_.admit(Account, Size, Now_))
          Sum += Size;
      Admitted_.push_back(Sum);
    }
  }

  void step() {
    Now_ += Step;
    auto const Messages = std::exchange(Messages_, {});
    for (auto const &[From, To, Message] : Messages)
      deliver(From, To, Message);
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (Instances_[Each].IsRunning_ && Now_ >= Instances_[Each].NextReport_)
        report(Each);
  }

  void report(std::size_t Place) {
    auto &One = Instances_[Place];
    auto const Period = One.Collector_.period();
    One.NextReport_ = Now_ + Period;
    One.Meter_.setPeriod(Period);
    auto const Report = One.Meter_.report(Now_);
    One.Collector_.onReport(One.Self_.Id_, Report, Now_);
    if (One.Collector_.isDirect()) {
      for (auto const &Other : Instances_)
        if (Other.Self_ != One.Self_)
          send(Place, Other.Self_.Peers_, Report);
      return;
    }
    for (auto const &Target : One.Collector_.targets(Now_))
      send(Place, Target, Report);
    if (!One.Collector_.isCollector())
      return;
    auto const Sum = One.Collector_.sum(Duration(0), Now_);
    for (auto const &Child : One.Collector_.rootChildren())
      send(Place, Child, Sum);
    One.Meter_.onSum(Sum, Now_);
  }

  void send(std::size_t From, Endpoint const &To, PeerMessage const &Message) {
    ++Instances_[From].Sent_;
    Messages_.emplace_back(From, To.Port_, Message);
  }

  void deliver(std::size_t From, std::size_t To, PeerMessage const &Message) {
    auto &One = Instances_[To];
    if (!One.IsRunning_ || One.IsCut_ != Instances_[From].IsCut_)
      return;
    if (auto const *const Report = std::get_if<ConsumptionReport>(&Message)) {
      ++One.Heard_;
      One.Collector_.onReport(Instances_[From].Self_.Id_, *Report, Now_);
      if (One.Collector_.isDirect())
        One.Meter_.onReport(Instances_[From].Self_.Id_, *Report, Now_);
      return;
    }
    auto const &Sum = std::get<ConsumptionSum>(Message);
    for (auto const &Child : One.Collector_.onSum(Sum, Now_))
      send(To, Child, Sum);
    One.Meter_.onSum(Sum, Now_);
  }

  std::vector<std::size_t> collectors() const {
    std::vector<std::size_t> Found;
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (Instances_[Each].IsRunning_ &&
          Instances_[Each].Collector_.isCollector())
        Found.push_back(Each);
    return Found;
  }

  /// The most that was admitted in any span of eight seconds, in what may be.
  double mostPart() const {
    auto const Span = static_cast<std::size_t>(seconds(8) / Step);
    auto const Most = test::mostInSpan(Admitted_, Span);
    return Most / ((Rate * 8 + Rate) * (1 + AllowedOverrun) + AllowedSlack);
  }
  /// A second, over the last so many.
  double admittedRate(int Seconds) const {
    auto const Span = static_cast<std::ptrdiff_t>(seconds(Seconds) / Step);
    return std::accumulate(Admitted_.end() - Span, Admitted_.end(), 0.0) /
           Seconds;
  }

  std::deque<Instance> Instances_;
  std::vector<std::tuple<std::size_t, std::size_t, PeerMessage>> Messages_;
  std::vector<double> Admitted_; ///< In each step.
  TimePoint Now_{std::chrono::hours(1)};
  std::mt19937_64 Random_{7};
};

} // namespace

TEST_CASE("An account is held to its quota at any size of the fleet") {
  auto const Count = GENERATE(as<std::size_t>(), 8, 13, 23, 77, 295);
  auto const Demand = GENERATE(1.2, 2.0, 6.0);
  CAPTURE(Count, Demand);
  Fleet Fleet(Count);
  Fleet.pass(seconds(30), Rate * Demand);
  CHECK(Fleet.mostPart() <= 1.0);
  CHECK(Fleet.admittedRate(15) >= LeastServed * Rate);
}

TEST_CASE("No request of an account below its quota is refused") {
  auto const Count = GENERATE(as<std::size_t>(), 8, 23, 77, 295);
  CAPTURE(Count);
  Fleet Fleet(Count);
  Fleet.pass(seconds(20), Rate * 0.8);
  CHECK(Fleet.admittedRate(15) >= 0.99 * 0.8 * Rate);
}

TEST_CASE("Messages about consumption are few at any size of the fleet") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 13, 23, 77, 295));
  for (auto &One : Fleet.Instances_)
    One.Sent_ = One.Heard_ = 0;
  Fleet.pass(seconds(20), Rate);
  auto const CollectorCount = Fleet.collectors();
  CHECK(CollectorCount.size() == 2);
  for (std::size_t Each = 0; Each < Fleet.Instances_.size(); ++Each) {
    bool const Collects =
        std::find(CollectorCount.begin(), CollectorCount.end(), Each) !=
        CollectorCount.end();
    CHECK(Fleet.Instances_[Each].Heard_ <= (Collects ? MostCollected * 20 : 0));
    if (!Collects)
      CHECK(Fleet.Instances_[Each].Sent_ <= MostMessages * 20);
  }
}

TEST_CASE("The quota holds while collectors are lost and replaced") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 23, 77, 295));
  auto const Lost = GENERATE(as<std::size_t>(), 1, 2);
  Fleet.pass(seconds(10), Rate * 2);
  auto const CollectorCount = Fleet.collectors();
  for (std::size_t Each = 0; Each < Lost; ++Each)
    Fleet.Instances_[CollectorCount[Each]].IsRunning_ = false;
  Fleet.pass(seconds(4), Rate * 2);
  Fleet.tellMembers();
  Fleet.pass(seconds(30), Rate * 2);
  CHECK(Fleet.collectors().size() == 2);
  CHECK(Fleet.mostPart() <= 1.0);
  CHECK(Fleet.admittedRate(15) >= LeastServed * Rate);
}

TEST_CASE("The quota holds while a data centre is partitioned") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 23, 77));
  Fleet.pass(seconds(10), Rate * 2);
  for (auto &One : Fleet.Instances_)
    One.IsCut_ = One.Self_.DataCentre_ == DataCentre("dc1");
  Fleet.pass(seconds(20), Rate * 2);
  for (auto &One : Fleet.Instances_)
    One.IsCut_ = false;
  Fleet.pass(seconds(20), Rate * 2);
  CHECK(Fleet.mostPart() <= 1.0);
  CHECK(Fleet.admittedRate(10) >= LeastServed * Rate);
}

TEST_CASE("The lease holder receives the reports of all instances") {
  Fleet Fleet(77);
  std::size_t Holder = 0;
  while (Fleet.Instances_[Holder].Collector_.isCollector())
    ++Holder;
  auto &Held = Fleet.Instances_[Holder];
  Held.Collector_.setRole(CollectorRole::HoldsLease, Fleet.Now_);
  CHECK_FALSE(Held.Collector_.isComplete(Fleet.Now_));
  Fleet.pass(seconds(3), Rate);
  CHECK(Held.Collector_.isComplete(Fleet.Now_));
  Held.Heard_ = 0;
  Fleet.pass(Held.Collector_.period() * 2, Rate);
  CHECK(Held.Heard_ >= 76);
  for (auto const &One : Fleet.Instances_)
    CHECK(One.Collector_.isHolderReporting(Fleet.Now_));
}

TEST_CASE("A late or repeated report of an incarnation counts once") {
  EntryInstance Self;
  Self.Id_ = InstanceId("c");
  ConsumptionCollector Collector(Self);
  TimePoint const Now{seconds(1000)};
  InstanceId const Incarnation("i1");
  auto const Report = [&](std::uint64_t Admitted) {
    ConsumptionReport Made;
    Made.Accounts_ = {{Account, Admitted, Admitted}};
    Collector.onReport(Incarnation, Made, Now);
  };
  Report(100); // Of before it was heard.
  Report(150);
  Report(120);
  Report(150);
  Report(170);
  auto const Sum = Collector.sum(Duration(0), Now);
  CHECK(Sum.Accounts_ == std::vector{AccountConsumption{Account, 70, 70}});
}
