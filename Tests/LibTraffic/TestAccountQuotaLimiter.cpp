#include "QuotaFixture.h"

#include <LibTraffic/AccountQuotaLimiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace laburnum;
using test::maxInSpan;
using test::tableWith;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Rate = 100000.0;
constexpr Duration Period = milliseconds(250);

/// Instances that serve one account, each with a share of its requests.
struct Fleet {
  explicit Fleet(std::size_t Size) {
    Limiters_.resize(Size,
                     AccountQuotaLimiter(AccountQuotaLimiter::Settings{}));
    Restarts_.resize(Size);
    for (std::size_t Index = 0; Index < Size; ++Index)
      restart(Index);
    for (int Round = 0; Round < 4; ++Round)
      exchangeReports();
  }

  /// Starts a new incarnation, which knows nothing of the one before.
  void restart(std::size_t Index) {
    Limiters_[Index] = AccountQuotaLimiter(AccountQuotaLimiter::Settings{});
    Limiters_[Index].setRegistered(Limiters_.size());
    Limiters_[Index].setTable(tableWith(Rate), Now_);
    ++Restarts_[Index];
  }

  /// Instances of different groups get no reports of each other.
  void exchangeReports() {
    Now_ += Period;
    for (std::size_t From = 0; From < Limiters_.size(); ++From) {
      auto const Report = Limiters_[From].report(Now_);
      for (std::size_t To = 0; To < Limiters_.size(); ++To)
        if (To != From && groupOf(To) == groupOf(From))
          Limiters_[To].onReport(InstanceId(std::to_string(From) + '.' +
                                            std::to_string(Restarts_[From])),
                                 Report, Now_);
    }
  }
  std::size_t groupOf(std::size_t Index) const {
    return GroupSize_ == 0 ? 0 : Index / GroupSize_;
  }

  /// Sends requests of Size, AskedPerSecond tokens in total, to instances drawn
  /// by weight. Returns the tokens admitted in each period.
  std::vector<double> play(Duration Length, double AskedPerSecond, double Size,
                           std::vector<double> const &Weights) {
    std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                   Weights.end());
    std::vector<double> Admitted;
    double Pending = 0.0; // Demand that does not amount to a request yet.
    for (Duration At{}; At < Length; At += Period) {
      double Sum = 0.0;
      Pending += AskedPerSecond * std::chrono::duration<double>(Period).count();
      for (; Pending >= Size; Pending -= Size)
        if (!Limiters_[Choose(Random_)].admit(AccountName("a"), Size, Now_))
          Sum += Size;
      Admitted.push_back(Sum);
      exchangeReports();
    }
    return Admitted;
  }

  std::vector<AccountQuotaLimiter> Limiters_;
  std::vector<unsigned> Restarts_;
  std::size_t GroupSize_ = 0; ///< 0: no partition.
  TimePoint Now_{seconds(1000)};
  std::mt19937_64 Random_{7};
};

/// Returns the maximum admitted in any span of eight seconds.
double maxIn8Seconds(std::vector<double> const &Periods) {
  return maxInSpan(Periods, static_cast<std::size_t>(seconds(8) / Period));
}

/// The quota of eight seconds with a tenth of overrun.
constexpr double Allowed = Rate * (8.0 + 1.0) * 1.1;

std::vector<double> const Even(8, 1.0);
std::vector<double> const Skewed = {20, 5, 2, 1, 1, 1, 1, 1};

} // namespace

TEST_CASE("An account far above its quota is limited to it") {
  Fleet All(8);
  auto const Admitted = All.play(seconds(20), Rate * GENERATE(2.0, 8.0), 2400.0,
                                 GENERATE(Even, Skewed));
  CHECK(maxIn8Seconds(Admitted) <= Allowed);
}

TEST_CASE(
    "An account within its quota is not refused, whichever instances it uses") {
  Fleet All(8);
  auto const &Weights = GENERATE(Even, Skewed);
  auto const Admitted = All.play(seconds(20), Rate * 0.6, 2400.0, Weights);
  auto const Sum = std::accumulate(Admitted.begin(), Admitted.end(), 0.0);
  CHECK(Sum >= 0.98 * 0.6 * Rate * 20.0);
}

TEST_CASE("Requests larger than an instance's share are not starved") {
  Fleet All(8);
  auto const Admitted = All.play(seconds(20), Rate * 0.6, 50000.0, Skewed);
  CHECK(std::accumulate(Admitted.begin(), Admitted.end(), 0.0) >= 10 * 50000.0);
}

TEST_CASE("Concurrent requests at one instance are admitted while the account "
          "is far below its quota") {
  Fleet All(8);
  for (int Round = 0; Round < 40; ++Round)
    All.exchangeReports();
  for (int One = 0; One < 4; ++One)
    CHECK_FALSE(All.Limiters_[3].admit(AccountName("a"), 20000.0, All.Now_));
}

TEST_CASE("The quota holds during a network partition") {
  Fleet All(8);
  All.play(seconds(4), Rate * 3.0, 2400.0, Even);
  All.GroupSize_ = GENERATE(4U, 2U, 1U);
  // Consumption before the partition is detected falls into the first second.
  All.play(seconds(2), Rate * 3.0, 2400.0, Even);
  CHECK(maxIn8Seconds(All.play(seconds(16), Rate * 3.0, 2400.0, Even)) <=
        Allowed);
}

// Guards against a burst of its own for each new incarnation.
TEST_CASE("The quota holds while instances are restarted") {
  std::size_t const Size = GENERATE(8U, 24U);
  bool const IsAllAtOnce = GENERATE(false, true);
  Fleet All(Size);
  std::vector<double> const Weights(Size, 1.0);
  auto Admitted = All.play(seconds(8), Rate * 3.0, 2400.0, Weights);
  for (std::size_t Round = 0; Round < 24; ++Round) {
    // A new incarnation hears of the others before it gets requests.
    auto Starting = Weights;
    if (!IsAllAtOnce) {
      All.restart(Round % Size);
      Starting[Round % Size] = 0.0;
    } else if (Round % 4 == 0) {
      for (std::size_t Index = 0; Index < Size; ++Index)
        All.restart(Index);
      Starting.assign(Size, 0.0);
      Starting.back() = 1.0;
    }
    auto const Demand = Starting == Weights || !IsAllAtOnce ? Rate * 3.0 : 0.0;
    auto const More = All.play(seconds(1), Demand, 2400.0, Starting);
    Admitted.insert(Admitted.end(), More.begin(), More.end());
  }
  CHECK(maxIn8Seconds(Admitted) <= Allowed);
}

TEST_CASE("A lower limit takes effect at once") {
  Fleet All(8);
  All.play(seconds(8), Rate * 0.9, 2400.0, Even);
  for (auto &Limiter : All.Limiters_)
    Limiter.setTable(tableWith(Rate / 10.0), All.Now_);
  All.play(seconds(1), Rate * 0.9, 2400.0, Even);
  CHECK(maxIn8Seconds(All.play(seconds(8), Rate * 0.9, 2400.0, Even)) <=
        Allowed / 10.0);
}

TEST_CASE("An instance that knows no others grants only a small share") {
  AccountQuotaLimiter Single{AccountQuotaLimiter::Settings{}};
  TimePoint const Now{seconds(1000)};
  Single.setTable(tableWith(Rate), Now);
  double Sum = 0.0;
  for (int One = 0; One < 1000; ++One)
    if (!Single.admit(AccountName("a"), 2400.0, Now))
      Sum += 2400.0;
  CHECK(Sum <= Rate * 0.1 + 2400.0);
}

TEST_CASE("A refusal reports when the account can be admitted again") {
  Fleet All(1);
  std::optional<Duration> Wait;
  for (int One = 0; One < 1000 && !Wait; ++One)
    Wait = All.Limiters_[0].admit(AccountName("a"), 2400.0, All.Now_);
  REQUIRE(Wait);
  CHECK(*Wait > Duration(0));
  All.exchangeReports();
  All.Now_ += *Wait;
  All.exchangeReports();
  CHECK_FALSE(All.Limiters_[0].admit(AccountName("a"), 2400.0, All.Now_));
}

namespace {

/// Sends small and large requests of one account to random instances in random
/// order.
struct Mixed {
  struct Served {
    double Asked_ = 0.0;
    double Admitted_ = 0.0;

    double admittedFraction() const { return Admitted_ / Asked_; }
  };

  void play(Duration Length, double SmallPerSecond, double LargePerSecond) {
    constexpr double SmallSize = 200.0;
    constexpr double LargeSize = 12000.0;
    auto const Span = std::chrono::duration<double>(Period).count();
    for (Duration At{}; At < Length; At += Period) {
      std::vector<double> Requests(
          static_cast<std::size_t>(SmallPerSecond * Span / SmallSize),
          SmallSize);
      Requests.insert(
          Requests.end(),
          static_cast<std::size_t>(LargePerSecond * Span / LargeSize),
          LargeSize);
      std::shuffle(Requests.begin(), Requests.end(), Fleet_.Random_);
      Periods_.push_back(0.0);
      for (auto const Size : Requests) {
        auto &Of = Size == SmallSize ? Small_ : Large_;
        Of.Asked_ += Size;
        auto &Limiter =
            Fleet_.Limiters_[Fleet_.Random_() % Fleet_.Limiters_.size()];
        if (Limiter.admit(AccountName("a"), Size, Fleet_.Now_))
          continue;
        Of.Admitted_ += Size;
        Periods_.back() += Size;
      }
      Fleet_.exchangeReports();
    }
  }

  Fleet Fleet_{8};
  Served Small_;
  Served Large_;
  std::vector<double> Periods_;
};

} // namespace

TEST_CASE("Small requests of an account at its quota are still admitted") {
  Mixed One;
  One.play(seconds(30), 0.1 * Rate, 2.0 * Rate);
  CHECK(One.Small_.admittedFraction() > 0.97);
  CHECK(One.Large_.Admitted_ > 0.8 * Rate * 30);
  CHECK(maxIn8Seconds(One.Periods_) <= Allowed);
}

TEST_CASE("A flood of small requests does not starve the large ones") {
  Mixed One;
  One.play(seconds(30), 3.0 * Rate, 1.0 * Rate);
  CHECK(One.Large_.admittedFraction() > 0.5 * One.Small_.admittedFraction());
  CHECK(maxIn8Seconds(One.Periods_) <= Allowed);
}

TEST_CASE("Where collectors sum up the reports, the tolerance is left for what "
          "other instances admit meanwhile") {
  constexpr double Rate = 100000.0;
  AccountQuotaLimiter::Settings Settings;
  Settings.RateTolerance_ = 0.04;
  Settings.BurstTolerance_ = 20000.0;
  TimePoint const Now{std::chrono::seconds(1000)};
  auto const AdmittedAtOnce = [&](AccountQuotaLimiter &Limiter) {
    double Sum = 0.0;
    while (!Limiter.admit(AccountName("a"), 500.0, Now))
      Sum += 500.0;
    return Sum;
  };
  AccountQuotaLimiter Alone(Settings);
  Alone.setTable(test::tableWith(Rate), Now);
  Alone.setRegistered(1);
  CHECK(AdmittedAtOnce(Alone) >= Rate);
  AccountQuotaLimiter Collected(Settings);
  Collected.setTable(test::tableWith(Rate), Now);
  Collected.setRegistered(1);
  Collected.onSum({InstanceId("c"), 1, CollectorRole::None, 1, {}, {}}, Now);
  CHECK(AdmittedAtOnce(Collected) <= Rate);
}

TEST_CASE("What instances admit between the last sum of a lost collector and "
          "the first of the next one counts") {
  constexpr Duration SumPeriod = milliseconds(400);
  constexpr std::uint64_t FleetSize = 74;
  AccountQuotaLimiter Limiter{AccountQuotaLimiter::Settings{SumPeriod}};
  TimePoint Now{seconds(1000)};
  Limiter.setTable(tableWith(Rate), Now);
  Limiter.setRegistered(FleetSize);
  std::uint64_t Admitted = 0;
  auto const PassPeriods = [&](int Count, std::uint64_t AdmittedEach,
                               std::vector<std::string> const &Collectors) {
    for (int Period = 0; Period < Count; ++Period) {
      Now += SumPeriod;
      Admitted += AdmittedEach;
      Limiter.report(Now);
      for (auto const &Name : Collectors)
        Limiter.onSum({InstanceId(Name),
                       1,
                       CollectorRole::None,
                       FleetSize,
                       {{AccountName("a"), Admitted, 3 * Admitted}},
                       {}},
                      Now);
    }
  };
  // The other instances empty the bucket and then admit its refill.
  constexpr std::uint64_t Refill = 40000;
  bool const IsSecondHeardOnce = GENERATE(false, true);
  if (IsSecondHeardOnce) {
    PassPeriods(1, 0, {"first"});
    PassPeriods(4, Refill * 3 / 2, {"first"});
    PassPeriods(20, Refill, {"first"});
    auto const Level = Limiter.quotaState(AccountName("a")).Level_;
    PassPeriods(1, Refill, {"first", "second"});
    PassPeriods(10, Refill, {"second"});
    auto const Later = Limiter.quotaState(AccountName("a")).Level_;
    CAPTURE(Level, Later);
    CHECK(Later <= Level + 0.02 * Rate);
    CHECK(Later >= Level - 3.0 * static_cast<double>(Refill));
    return;
  }
  PassPeriods(1, 0, {"first", "second"});
  PassPeriods(4, Refill * 3 / 2, {"first", "second"});
  PassPeriods(20, Refill, {"first", "second"});
  auto const Before = Limiter.quotaState(AccountName("a")).Level_;
  PassPeriods(10, Refill, {"second"});
  auto const After = Limiter.quotaState(AccountName("a")).Level_;
  CAPTURE(Before, After);
  CHECK(After <= Before + 0.02 * Rate);
}
