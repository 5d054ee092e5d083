#include <LibTraffic/QuotaFixture.h>

#include <LibControl/ConsumptionCollector.h>
#include <LibPeer/PeerMessage.h>
#include <LibTraffic/AccountQuotaLimiter.h>

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
/// Limits of the specification on what may be admitted beyond a quota in eight
/// seconds.
constexpr double AllowedOverrun = 0.1;
constexpr double AllowedSlack = 140000.0;
/// Minimum rate that a fleet of any size has to admit, as a fraction of the
/// quota.
constexpr double MinServedShare = 0.9;
/// Maximum messages per second sent by an instance that is no collector.
constexpr std::size_t MaxMessagesPerSecond = 15;
/// Maximum reports per second received by a collector, at any fleet size.
constexpr std::size_t MaxReportsPerSecond = 520;

/// Instances that serve one account, simulated in steps of 50 ms. A message
/// takes one step.
struct Fleet {
  static constexpr Duration Step = milliseconds(50);

  struct Instance {
    explicit Instance(EntryInstance const &Self)
        : Self_(Self), Collector_(Self),
          Meter_({milliseconds(250), 0.04, AllowedSlack * 0.3}) {}

    EntryInstance Self_;
    ConsumptionCollector Collector_;
    AccountQuotaLimiter Meter_;
    TimePoint NextReport_{};
    bool IsRunning_ = true;
    bool IsPartitioned_ = false;
    std::size_t Sent_ = 0;
    std::size_t Received_ = 0;
  };

  explicit Fleet(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      add(Index);
    updateMembers();
    pass(seconds(10), 0.0);
  }

  void add(std::size_t Number) {
    EntryInstance Self;
    Self.Id_ = InstanceId("i" + std::to_string(Number));
    Self.DataCentre_ = DataCentre("dc" + std::to_string(Number % 6));
    Self.Peers_ = {"h", static_cast<std::uint16_t>(Number)};
    auto &Added = Instances_.emplace_back(Self);
    Added.Meter_.setTable(test::tableWith(Rate), Now_);
    Added.NextReport_ = Now_ + Step * (Number % 20);
  }

  void updateMembers() {
    std::vector<Member> Members;
    for (auto const &Entry : Instances_)
      if (Entry.IsRunning_)
        Members.push_back({Entry.Self_, Liveness::Live, 0, 0, {}});
    for (auto &Entry : Instances_) {
      Entry.Collector_.setMembers(Members, Now_);
      Entry.Meter_.setRegistered(Instances_.size());
    }
  }

  /// Requests that many tokens per second, in requests of 500 tokens, unevenly
  /// distributed over the instances.
  void pass(Duration Length, double RequestedPerSecond) {
    std::vector<double> Weights;
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      Weights.push_back(Instances_[Index].IsRunning_ ? 1.0 + Index % 5 : 0.0);
    std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                   Weights.end());
    constexpr double Size = 500.0;
    double Outstanding = 0.0;
    for (auto const End = Now_ + Length; Now_ < End;) {
      step();
      Outstanding +=
          RequestedPerSecond * std::chrono::duration<double>(Step).count();
      double Sum = 0.0;
      for (; Outstanding >= Size; Outstanding -= Size)
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
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (Instances_[Index].IsRunning_ && Now_ >= Instances_[Index].NextReport_)
        report(Index);
  }

  void report(std::size_t Index) {
    auto &Entry = Instances_[Index];
    auto const Period = Entry.Collector_.period();
    Entry.NextReport_ = Now_ + Period;
    Entry.Meter_.setPeriod(Period);
    auto const Report = Entry.Meter_.report(Now_);
    Entry.Collector_.onReport(Entry.Self_.Id_, Report, Now_);
    if (Entry.Collector_.isDirect()) {
      for (auto const &Other : Instances_)
        if (Other.Self_ != Entry.Self_)
          send(Index, Other.Self_.Peers_, Report);
      return;
    }
    for (auto const &Target : Entry.Collector_.targets(Now_))
      send(Index, Target, Report);
    if (!Entry.Collector_.isCollector())
      return;
    auto const Sum = Entry.Collector_.sum(Duration(0), Now_);
    for (auto const &Child : Entry.Collector_.rootChildren())
      send(Index, Child, Sum);
    Entry.Meter_.onSum(Sum, Now_);
  }

  void send(std::size_t From, Endpoint const &To, PeerMessage const &Message) {
    ++Instances_[From].Sent_;
    Messages_.emplace_back(From, To.Port_, Message);
  }

  void deliver(std::size_t From, std::size_t To, PeerMessage const &Message) {
    auto &Entry = Instances_[To];
    if (!Entry.IsRunning_ ||
        Entry.IsPartitioned_ != Instances_[From].IsPartitioned_)
      return;
    if (auto const *const Report = std::get_if<ConsumptionReport>(&Message)) {
      ++Entry.Received_;
      Entry.Collector_.onReport(Instances_[From].Self_.Id_, *Report, Now_);
      if (Entry.Collector_.isDirect())
        Entry.Meter_.onReport(Instances_[From].Self_.Id_, *Report, Now_);
      return;
    }
    auto const &Sum = std::get<ConsumptionSum>(Message);
    for (auto const &Child : Entry.Collector_.onSum(Sum, Now_))
      send(To, Child, Sum);
    Entry.Meter_.onSum(Sum, Now_);
  }

  std::vector<std::size_t> collectors() const {
    std::vector<std::size_t> Found;
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (Instances_[Index].IsRunning_ &&
          Instances_[Index].Collector_.isCollector())
        Found.push_back(Index);
    return Found;
  }

  /// The maximum admitted in any span of eight seconds, relative to the limit.
  double maxShareOfLimit() const {
    auto const Span = static_cast<std::size_t>(seconds(8) / Step);
    auto const MaxAdmitted = test::maxInSpan(Admitted_, Span);
    return MaxAdmitted /
           ((Rate * 8 + Rate) * (1 + AllowedOverrun) + AllowedSlack);
  }
  /// Tokens admitted per second, averaged over the last seconds.
  double admittedRate(int Seconds) const {
    auto const Span = static_cast<std::ptrdiff_t>(seconds(Seconds) / Step);
    return std::accumulate(Admitted_.end() - Span, Admitted_.end(), 0.0) /
           Seconds;
  }

  std::deque<Instance> Instances_;
  std::vector<std::tuple<std::size_t, std::size_t, PeerMessage>> Messages_;
  std::vector<double> Admitted_; ///< Tokens admitted in each step.
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
  CHECK(Fleet.maxShareOfLimit() <= 1.0);
  CHECK(Fleet.admittedRate(15) >= MinServedShare * Rate);
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
  for (auto &Entry : Fleet.Instances_)
    Entry.Sent_ = Entry.Received_ = 0;
  Fleet.pass(seconds(20), Rate);
  auto const Collectors = Fleet.collectors();
  CHECK(Collectors.size() == 2);
  for (std::size_t Index = 0; Index < Fleet.Instances_.size(); ++Index) {
    bool const Collects = std::find(Collectors.begin(), Collectors.end(),
                                    Index) != Collectors.end();
    CHECK(Fleet.Instances_[Index].Received_ <=
          (Collects ? MaxReportsPerSecond * 20 : 0));
    if (!Collects)
      CHECK(Fleet.Instances_[Index].Sent_ <= MaxMessagesPerSecond * 20);
  }
}

TEST_CASE("The quota holds while collectors are lost and replaced") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 23, 77, 295));
  auto const Lost = GENERATE(as<std::size_t>(), 1, 2);
  Fleet.pass(seconds(10), Rate * 2);
  auto const Collectors = Fleet.collectors();
  for (std::size_t Index = 0; Index < Lost; ++Index)
    Fleet.Instances_[Collectors[Index]].IsRunning_ = false;
  Fleet.pass(seconds(4), Rate * 2);
  Fleet.updateMembers();
  Fleet.pass(seconds(30), Rate * 2);
  CHECK(Fleet.collectors().size() == 2);
  CHECK(Fleet.maxShareOfLimit() <= 1.0);
  CHECK(Fleet.admittedRate(15) >= MinServedShare * Rate);
}

TEST_CASE("The quota holds while a data centre is cut off") {
  Fleet Fleet(GENERATE(as<std::size_t>(), 23, 77));
  Fleet.pass(seconds(10), Rate * 2);
  for (auto &Entry : Fleet.Instances_)
    Entry.IsPartitioned_ = Entry.Self_.DataCentre_ == DataCentre("dc1");
  Fleet.pass(seconds(20), Rate * 2);
  for (auto &Entry : Fleet.Instances_)
    Entry.IsPartitioned_ = false;
  Fleet.pass(seconds(20), Rate * 2);
  CHECK(Fleet.maxShareOfLimit() <= 1.0);
  CHECK(Fleet.admittedRate(10) >= MinServedShare * Rate);
}

TEST_CASE("The lease holder receives the reports of all instances") {
  Fleet Fleet(77);
  std::size_t Holder = 0;
  while (Fleet.Instances_[Holder].Collector_.isCollector())
    ++Holder;
  auto &HolderInstance = Fleet.Instances_[Holder];
  HolderInstance.Collector_.setRole(CollectorRole::HoldsLease, Fleet.Now_);
  CHECK_FALSE(HolderInstance.Collector_.isComplete(Fleet.Now_));
  Fleet.pass(seconds(3), Rate);
  CHECK(HolderInstance.Collector_.isComplete(Fleet.Now_));
  HolderInstance.Received_ = 0;
  Fleet.pass(HolderInstance.Collector_.period() * 2, Rate);
  CHECK(HolderInstance.Received_ >= 76);
  for (auto const &Entry : Fleet.Instances_)
    CHECK(Entry.Collector_.isHolderReporting(Fleet.Now_));
}

TEST_CASE("A late or repeated report of an incarnation counts once") {
  EntryInstance Self;
  Self.Id_ = InstanceId("c");
  ConsumptionCollector Collector(Self);
  TimePoint const Now{seconds(1000)};
  InstanceId const Incarnation("i1");
  auto const Report = [&](std::uint64_t Admitted) {
    ConsumptionReport Added;
    Added.Accounts_ = {{Account, Admitted, Admitted}};
    Collector.onReport(Incarnation, Added, Now);
  };
  Report(100); // The first report is the baseline.
  Report(150);
  Report(120);
  Report(150);
  Report(170);
  auto const Sum = Collector.sum(Duration(0), Now);
  CHECK(Sum.Accounts_ == std::vector{AccountConsumption{Account, 70, 70}});
}
