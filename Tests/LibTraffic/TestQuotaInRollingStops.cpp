#include "QuotaFixture.h"

#include <LibControl/ConsumptionCollector.h>
#include <LibPeer/PeerMessage.h>
#include <LibTraffic/AccountQuotaLimiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AccountName const Account("a");
constexpr double Rate = 1000000.0;
constexpr double AllowedSlack = 140000.0;
constexpr double RequestSize = 5000.0;
constexpr Duration Step = milliseconds(50);
constexpr std::size_t InstanceCount = 74;
constexpr std::size_t StoppedAtOnce = 6;
constexpr std::size_t StoppedCount = 60;
constexpr Duration StopPause = milliseconds(800);

/// Possible causes of an overrun; each can be left out of the simulation.
struct Causes {
  /// What was admitted after the last, or before the first, report is lost.
  bool LosesUnreported_ = true;
  /// A new incarnation knows nothing of its predecessor's bucket and sums.
  bool StartsFull_ = true;
  /// Collectors are among the stopped instances.
  bool StopsCollectors_ = true;
  /// A new incarnation doesn't know the fleet's size in its first second.
  /// Without effect unless StartsFull_.
  bool StartsAlone_ = true;
};

/// 74 instances that serve one account, in steps of 50 ms. A message takes one
/// step.
class RollingFleet {
public:
  explicit RollingFleet(Causes Present, unsigned Seed)
      : Present_(Present), Random_(Seed) {
    for (std::size_t Index = 0; Index < InstanceCount; ++Index)
      Instances_.emplace_back(selfOf(Index, 0)).NextReport_ =
          Now_ + Step * (Index % 8);
    for (auto &One : Instances_) {
      One.Meter_.setTable(test::tableWith(Rate), Now_);
      One.Meter_.setRegistered(InstanceCount);
    }
    updateMembers();
    pass(seconds(10), 0.0);
  }

  /// Stops instances, a few at a time, which start again later.
  void rollingStops(double AskedPerSecond) {
    std::set<std::size_t> Kept;
    for (std::size_t Index = 0; Index < InstanceCount; ++Index)
      if (!Present_.StopsCollectors_ &&
          Instances_[Index].Collector_.isCollector())
        Kept.insert(Index);
    std::vector<std::size_t> Order;
    for (std::size_t Index = 0; Index < InstanceCount; ++Index)
      if (!Kept.contains(Index))
        Order.push_back(Index);
    std::shuffle(Order.begin(), Order.end(), Random_);
    // The collectors of the beginning are certainly stopped.
    std::stable_partition(Order.begin(), Order.end(), [&](std::size_t Index) {
      return Instances_[Index].Collector_.isCollector();
    });
    std::swap(Order[1], Order[StoppedCount / 4]);
    Order.resize(StoppedCount);
    for (std::size_t First = 0; First < Order.size(); First += StoppedAtOnce) {
      for (auto Next = First; Next < First + StoppedAtOnce; ++Next)
        stop(Order[Next]);
      pass(StopPause, AskedPerSecond);
    }
    pass(seconds(12), AskedPerSecond);
  }

  void pass(Duration Length, double AskedPerSecond) {
    double Outstanding = 0.0;
    for (auto const End = Now_ + Length; Now_ < End;) {
      step();
      std::vector<double> Weights;
      for (auto const &One : Instances_)
        Weights.push_back(One.Phase_ == Phase::Serving ? 1.0 : 0.0);
      std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                     Weights.end());
      Outstanding +=
          AskedPerSecond * std::chrono::duration<double>(Step).count();
      double Sum = 0.0;
      for (; Outstanding >= RequestSize; Outstanding -= RequestSize)
        if (!Instances_[Choose(Random_)].Meter_.admit(Account, RequestSize,
                                                      Now_))
          Sum += RequestSize;
      Admitted_.push_back(Sum);
    }
  }

  /// The maximum admitted in eight seconds, relative to the quota's
  /// limit.
  double maxShareOfLimit() const {
    return test::maxInSpan(Admitted_,
                           static_cast<std::size_t>(seconds(8) / Step)) /
           ((Rate * 8 + Rate) * 1.1 + AllowedSlack);
  }

private:
  enum class Phase { Serving, Draining, Down };

  struct Instance {
    explicit Instance(EntryInstance const &Self)
        : Self_(Self), Collector_(Self),
          Meter_({milliseconds(250), 0.04, AllowedSlack * 0.3}) {}

    EntryInstance Self_;
    ConsumptionCollector Collector_;
    AccountQuotaLimiter Meter_;
    TimePoint NextReport_{};
    Phase Phase_ = Phase::Serving;
    Liveness Liveness_ = Liveness::Live;
    unsigned Life_ = 0;
    std::optional<TimePoint> StoppedAt_;
    std::optional<TimePoint> FleetKnownAt_;
  };

  // As the entry service does: it leaves, serves on, then drains and exits.
  static constexpr Duration DrainAfter = milliseconds(2600);
  static constexpr Duration ExitAfter = milliseconds(2800);
  static constexpr Duration StartAfter = milliseconds(3800);

  static EntryInstance selfOf(std::size_t Index, unsigned Life) {
    EntryInstance Self;
    Self.Id_ =
        InstanceId("i" + std::to_string(Index) + '.' + std::to_string(Life));
    Self.DataCentre_ = DataCentre("dc" + std::to_string(Index % 6));
    Self.Peers_ = {"h", static_cast<std::uint16_t>(Index)};
    return Self;
  }

  void stop(std::size_t Index) {
    Instances_[Index].StoppedAt_ = Now_;
    Instances_[Index].Liveness_ = Liveness::Leaving;
    updateMembers();
  }

  void start(std::size_t Index) {
    auto const Life = Instances_[Index].Life_ + 1;
    Instance Next(selfOf(Index, Life));
    Next.Life_ = Life;
    Next.NextReport_ = Now_;
    if (Present_.StartsFull_)
      Next.Meter_.setTable(test::tableWith(Rate), Now_);
    else
      Next.Meter_ = Instances_[Index].Meter_;
    if (Present_.StartsAlone_)
      Next.FleetKnownAt_ = Now_ + seconds(1);
    else
      Next.Meter_.setRegistered(InstanceCount);
    Instances_[Index] = std::move(Next);
    if (!Present_.LosesUnreported_)
      report(Index);
    updateMembers();
  }

  void updateMembers() {
    std::vector<Member> Members;
    for (auto const &One : Instances_)
      if (One.Phase_ != Phase::Down)
        Members.push_back({One.Self_, One.Liveness_, 0, 0, {}});
    for (auto &One : Instances_)
      One.Collector_.setMembers(Members, Now_);
  }

  void advance(std::size_t Index) {
    auto &One = Instances_[Index];
    if (One.FleetKnownAt_ && Now_ >= *One.FleetKnownAt_)
      One.Meter_.setRegistered(InstanceCount);
    if (!One.StoppedAt_)
      return;
    auto const Since = Now_ - *One.StoppedAt_;
    if (Since >= StartAfter)
      return start(Index);
    if (One.Phase_ == Phase::Draining && Since >= ExitAfter) {
      if (!Present_.LosesUnreported_)
        report(Index);
      One.Phase_ = Phase::Down;
      updateMembers();
    } else if (One.Phase_ == Phase::Serving && Since >= DrainAfter) {
      One.Phase_ = Phase::Draining;
    }
  }

  void step() {
    Now_ += Step;
    for (auto const &[From, To, Message] : std::exchange(Messages_, {}))
      deliver(From, To, Message);
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index) {
      advance(Index);
      if (Instances_[Index].Phase_ != Phase::Down &&
          Now_ >= Instances_[Index].NextReport_)
        report(Index);
    }
  }

  void report(std::size_t Index) {
    auto &One = Instances_[Index];
    auto const Period = One.Collector_.period();
    One.NextReport_ = Now_ + Period;
    One.Meter_.setPeriod(Period);
    auto const Report = One.Meter_.report(Now_);
    One.Collector_.onReport(One.Self_.Id_, Report, Now_);
    for (auto const &Target : One.Collector_.targets(Now_))
      Messages_.emplace_back(One.Self_.Id_, Target.Port_, Report);
    if (!One.Collector_.isCollector())
      return;
    auto const Sum = One.Collector_.sum(Duration(0), Now_);
    for (auto const &Child : One.Collector_.rootChildren())
      Messages_.emplace_back(One.Self_.Id_, Child.Port_, Sum);
    One.Meter_.onSum(Sum, Now_);
  }

  void deliver(InstanceId const &From, std::size_t To,
               PeerMessage const &Message) {
    auto &One = Instances_[To];
    if (One.Phase_ == Phase::Down)
      return;
    if (auto const *const Report = std::get_if<ConsumptionReport>(&Message))
      return One.Collector_.onReport(From, *Report, Now_);
    auto const &Sum = std::get<ConsumptionSum>(Message);
    for (auto const &Child : One.Collector_.onSum(Sum, Now_))
      Messages_.emplace_back(One.Self_.Id_, Child.Port_, Sum);
    One.Meter_.onSum(Sum, Now_);
  }

  Causes Present_;
  std::deque<Instance> Instances_;
  std::vector<std::tuple<InstanceId, std::size_t, PeerMessage>> Messages_;
  std::vector<double> Admitted_; ///< Tokens admitted in each step.
  TimePoint Now_{std::chrono::hours(1)};
  std::mt19937_64 Random_;
};

/// Plays rolling stops, of an account far above its quota all the time or only
/// from the first stop on, and returns the highest share of its limit.
double maxShareInRollingStops(Causes Present, double AskedBefore) {
  double Most = 0.0;
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    RollingFleet Fleet(Present, Seed);
    Fleet.pass(seconds(10), Rate * AskedBefore);
    Fleet.rollingStops(Rate * 3.0);
    Most = std::max(Most, Fleet.maxShareOfLimit());
  }
  return Most;
}

} // namespace

TEST_CASE("The quota holds in rolling stops that spare the collectors") {
  auto const AskedBefore = GENERATE(0.2, 3.0);
  Causes Present;
  Present.StopsCollectors_ = false;
  Present.LosesUnreported_ = GENERATE(false, true);
  Present.StartsAlone_ = GENERATE(false, true);
  CAPTURE(AskedBefore, Present.LosesUnreported_, Present.StartsAlone_);
  CHECK(maxShareInRollingStops(Present, AskedBefore) <= 1.0);
}

TEST_CASE("The quota holds in rolling stops of collectors and others") {
  auto const AskedBefore = GENERATE(0.2, 3.0);
  Causes Present;
  Present.StartsFull_ = GENERATE(false, true);
  Present.LosesUnreported_ = GENERATE(false, true);
  Present.StartsAlone_ = false;
  CAPTURE(AskedBefore, Present.StartsFull_, Present.LosesUnreported_);
  CHECK(maxShareInRollingStops(Present, AskedBefore) <= 1.0);
}
