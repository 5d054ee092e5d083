#include <LibTraffic/AccountMeter.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Weight of the newest period in the smoothed demand.
constexpr double DemandWeight = 0.2;
/// An instance may always use this part of its equal share of the bucket, so
/// that the first requests of an account are not refused for want of history.
constexpr double LeastPart = 0.5;
/// After this many reports that did not come, a peer is taken for cut off, and
/// its equal part of the quota is left to it.
constexpr std::int64_t MissedReports = 4;
/// The same of a collector's sums: without them nothing of any other instance
/// is known, and there is a second collector.
constexpr std::int64_t MissedSums = 2;
/// How long a silent peer's totals are kept, to go on from.
constexpr std::chrono::seconds PeerRetention{60};
/// The part of a quota that an instance gives out that does not know yet how
/// many others there are.
constexpr double PartWhenAlone = 0.1;
/// As long as the bucket holds more than what other instances ask in so many
/// periods, nothing that is asked here can empty it unseen.
constexpr double ReservedPeriods = 2.0;
/// A request is small when it costs at most this part of what flows in in a
/// second.
constexpr double SmallPart = 0.02;
/// What small requests ask in this time is kept for them, so that none is
/// refused between two reports for the sake of large ones ...
constexpr double KeptSeconds = 1.0;
/// ... while they ask for at most this part of the quota: with more, they would
/// leave large ones nothing.
constexpr double MostKeptDemand = 0.3;
/// Large requests that are admitted at once at several instances put the bucket
/// into debt. Small ones go on meanwhile, as less is asked for them than flows
/// in, down to a debt of this much inflow: a tenth of overrun in eight seconds
/// comes to twice that.
constexpr double DebtSeconds = 0.4;
/// Bounds of when a refused request is told to come back.
constexpr std::chrono::milliseconds SoonestReturn{100};
constexpr std::chrono::seconds LatestReturn{5};

} // namespace

double quotaCost(AccountQuota const &Quota,
                 std::optional<std::uint64_t> const &Tokens) {
  if (Quota.Unit_ == QuotaUnit::Requests)
    return 1.0;
  return Tokens ? static_cast<double>(*Tokens) : Quota.PlainTokens_;
}

AccountQuota const *AccountMeter::quotaOf(AccountName const &Account) const {
  if (!Table_)
    return nullptr;
  auto const &Accounts = Table_->accounts();
  auto const Found = std::find_if(
      Accounts.begin(), Accounts.end(),
      [&](RoutedAccount const &One) { return One.Name_ == Account; });
  return Found == Accounts.end() || Found->Quota_.RatePerSecond_ <= 0.0
             ? nullptr
             : &Found->Quota_;
}

double AccountMeter::heardPart() const {
  if (Registered_ == 0)
    return PartWhenAlone;
  return static_cast<double>(Reachable_) /
         static_cast<double>(std::max(Registered_, Reachable_));
}

double AccountMeter::rate(AccountQuota const &Quota) const {
  return Quota.RatePerSecond_ * (1.0 + Settings_.Overrun_) * heardPart();
}

double AccountMeter::periodSeconds() const {
  return std::chrono::duration<double>(Settings_.ReportPeriod_).count();
}

double AccountMeter::inflow(AccountQuota const &Quota) const {
  return rate(Quota) * periodSeconds();
}

bool AccountMeter::isFresh(Collector const &One, TimePoint Now) const {
  return One.HeardAt_ + Settings_.ReportPeriod_ * MissedSums >= Now;
}

void AccountMeter::countReachable(TimePoint Now) {
  std::size_t Heard = 1;
  for (auto const &[Id, Peer] : Peers_)
    if (Peer.HeardAt_ + Settings_.ReportPeriod_ * MissedReports >= Now)
      ++Heard;
  for (auto const &[Id, Collector] : Collectors_)
    if (isFresh(Collector, Now))
      Heard = std::max(Heard, Collector.Incarnations_);
  if (Heard == Reachable_)
    return;
  // What has flowed in so far did so at the old rate.
  for (auto const &[Account, Usage] : Usage_)
    if (auto const *const Quota = quotaOf(Account))
      fill(*Quota, Account, Now);
  Reachable_ = Heard;
  std::erase_if(Peers_, [&](auto const &One) {
    return One.second.HeardAt_ + PeerRetention < Now;
  });
  std::erase_if(Collectors_, [&](auto const &One) {
    return One.second.HeardAt_ + PeerRetention < Now;
  });
}

void AccountMeter::setPeriod(Duration Period) {
  if (Period == Settings_.ReportPeriod_)
    return;
  auto const Ratio = std::chrono::duration<double>(Period) /
                     std::chrono::duration<double>(Settings_.ReportPeriod_);
  for (auto &[Account, Usage] : Usage_) {
    Usage.OwnDemand_ *= Ratio;
    Usage.OwnSmallDemand_ *= Ratio;
    Usage.OthersDemand_ *= Ratio;
  }
  Settings_.ReportPeriod_ = Period;
}

void AccountMeter::onSum(ConsumptionSum const &Sum, TimePoint Now) {
  auto const [Found, IsNew] = Collectors_.try_emplace(Sum.Origin_);
  auto &Collector = Found->second;
  Collector.HeardAt_ = Now;
  Collector.Incarnations_ = std::max<std::size_t>(1, Sum.Incarnations_);
  countReachable(Now);
  auto const Followed = Collectors_.find(Followed_);
  if (Followed == Collectors_.end() || !isFresh(Followed->second, Now))
    Followed_ = Sum.Origin_;
  bool const Counts = Followed_ == Sum.Origin_ && !IsNew;
  if (Counts)
    IsSumDue_ = false;
  for (auto const &One : Sum.Accounts_) {
    auto const Others = lessOwn(One);
    auto const Last = std::exchange(Collector.Others_[One.Account_], Others);
    if (!Counts)
      continue;
    // What was taken for granted meanwhile is part of it.
    auto const Held = Usage_.find(One.Account_);
    auto const Assumed =
        Held == Usage_.end() ? 0.0 : std::exchange(Held->second.Assumed_, 0.0);
    takeOthers(One.Account_, Others.Admitted_ - Last.Admitted_ - Assumed,
               std::max(0.0, Others.Asked_ - Last.Asked_), Now);
  }
}

/// The sum holds what was reported last, give or take one report; whatever is
/// off by that is made good by the next sum.
AccountMeter::OthersTotal
AccountMeter::lessOwn(AccountConsumption const &Sum) const {
  OthersTotal Others{static_cast<double>(Sum.Admitted_),
                     static_cast<double>(Sum.Asked_)};
  if (auto const Own = Usage_.find(Sum.Account_); Own != Usage_.end()) {
    Others.Admitted_ -= static_cast<double>(Own->second.AdmittedBefore_);
    Others.Asked_ -= static_cast<double>(Own->second.AskedBefore_);
  }
  return Others;
}

void AccountMeter::takeOthers(AccountName const &Account, double Admitted,
                              double Asked, TimePoint Now) {
  auto const *const Quota = quotaOf(Account);
  if (!Quota)
    return;
  auto &Usage = fill(*Quota, Account, Now);
  Usage.Level_ -= Admitted;
  Usage.OthersAsked_ += Asked;
}

AccountMeter::Usage &AccountMeter::fill(AccountQuota const &Quota,
                                        AccountName const &Account,
                                        TimePoint Now) {
  auto const [Found, IsNew] = Usage_.try_emplace(Account);
  auto &Usage = Found->second;
  // The burst is part of what a window may hold, shared like the rate.
  auto const Depth = (Quota.Burst_ + Settings_.Slack_) * heardPart();
  if (IsNew) {
    Usage.Level_ = Depth;
    Usage.Filled_ = Now;
    Usage.Allowance_ = Depth * part(Usage);
  }
  auto const Elapsed =
      std::chrono::duration<double>(Now - Usage.Filled_).count();
  Usage.Level_ =
      std::min(Depth, Usage.Level_ + std::max(0.0, Elapsed) * rate(Quota));
  Usage.Filled_ = Now;
  return Usage;
}

double AccountMeter::part(Usage const &Account) const {
  auto const Equal = 1.0 / static_cast<double>(Reachable_);
  auto const Total = Account.OwnDemand_ + Account.OthersDemand_;
  auto const ByDemand = Total > 0.0 ? Account.OwnDemand_ / Total : Equal;
  return std::clamp(ByDemand, LeastPart * Equal, 1.0);
}

/// The others are taken to get small requests in the same proportion.
double AccountMeter::keptForSmall(AccountQuota const &Quota,
                                  Usage const &Account) const {
  if (Account.OwnDemand_ <= 0.0)
    return 0.0;
  auto const All =
      (Account.OwnDemand_ + Account.OthersDemand_) / periodSeconds();
  auto const Small = All * Account.OwnSmallDemand_ / Account.OwnDemand_;
  return Small > MostKeptDemand * rate(Quota) ? 0.0 : Small * KeptSeconds;
}

void AccountMeter::setTable(std::shared_ptr<RouteTable const> Table,
                            TimePoint Now) {
  Table_ = std::move(Table);
  std::erase_if(Usage_,
                [&](auto const &One) { return quotaOf(One.first) == nullptr; });
  for (auto &[Account, Usage] : Usage_) {
    // A lower limit binds at once, also what is left of the period.
    fill(*quotaOf(Account), Account, Now);
    Usage.Allowance_ =
        std::min(Usage.Allowance_, std::max(0.0, Usage.Level_) * part(Usage));
  }
}

std::optional<Duration> AccountMeter::admit(AccountName const &Account,
                                            double Amount, TimePoint Now) {
  auto const *const Quota = quotaOf(Account);
  if (!Quota)
    return std::nullopt;
  auto &Usage = fill(*Quota, Account, Now);
  auto const Whole = static_cast<std::uint64_t>(Amount);
  Usage.Asked_ += Whole;
  bool const IsSmall = Amount <= SmallPart * Quota->RatePerSecond_;
  if (IsSmall)
    Usage.AskedSmall_ += Whole;
  auto const Kept = keptForSmall(*Quota, Usage);
  bool const IsPreferred = IsSmall && Kept > 0.0;
  auto const Free = IsSmall ? Usage.Level_ : Usage.Level_ - Kept;
  // What the others are likely to take from the bucket before they are heard of
  // again, beyond what flows in meanwhile.
  auto const Reserved =
      std::max(0.0, Usage.OthersDemand_ - inflow(*Quota)) * ReservedPeriods;
  bool const HasRoom =
      Free > 0.0 && (Free > Reserved || Usage.Allowance_ > 0.0);
  if (HasRoom || (IsPreferred && Usage.Level_ > -DebtSeconds * rate(*Quota))) {
    Usage.Admitted_ += Whole;
    Usage.Level_ -= Amount;
    Usage.Allowance_ -= Amount;
    return std::nullopt;
  }
  auto const Debt = std::max(0.0, -Free) + Amount;
  auto const Wait = Duration(
      static_cast<Duration::rep>(Debt / std::max(rate(*Quota), 1e-9) * 1e6));
  return std::clamp<Duration>(Wait, SoonestReturn, LatestReturn);
}

AccountMeter::Standing
AccountMeter::standing(AccountName const &Account) const {
  auto const Found = Usage_.find(Account);
  if (Found == Usage_.end())
    return {0.0, 0.0, Reachable_, Registered_};
  return {Found->second.Level_, Found->second.Allowance_, Reachable_,
          Registered_};
}

/// Without word from the collector the bucket must not seem to fill while
/// others take from it.
void AccountMeter::assumeOthers(AccountQuota const &Quota, Usage &Account) {
  auto const Taken = std::min(Account.OthersDemand_, inflow(Quota));
  Account.Assumed_ += Taken;
  Account.Level_ -= Taken;
}

ConsumptionReport AccountMeter::report(TimePoint Now) {
  countReachable(Now);
  bool const WithoutWord =
      std::exchange(IsSumDue_, true) && Collectors_.contains(Followed_);
  ConsumptionReport Report;
  for (auto &[Account, Usage] : Usage_) {
    auto const *const Quota = quotaOf(Account);
    if (!Quota)
      continue;
    fill(*Quota, Account, Now);
    if (WithoutWord)
      assumeOthers(*Quota, Usage);
    auto const Asked = static_cast<double>(Usage.Asked_ - Usage.AskedBefore_);
    Usage.AskedBefore_ = Usage.Asked_;
    Usage.AdmittedBefore_ = Usage.Admitted_;
    Usage.OwnDemand_ += DemandWeight * (Asked - Usage.OwnDemand_);
    Usage.OwnSmallDemand_ +=
        DemandWeight * (static_cast<double>(std::exchange(Usage.AskedSmall_,
                                                          std::uint64_t{0})) -
                        Usage.OwnSmallDemand_);
    Usage.OthersDemand_ +=
        DemandWeight * (Usage.OthersAsked_ - Usage.OthersDemand_);
    Usage.OthersAsked_ = 0.0;
    Usage.Allowance_ =
        std::max(0.0, Usage.Level_ - keptForSmall(*Quota, Usage)) * part(Usage);
    Report.Accounts_.push_back({Account, Usage.Admitted_, Usage.Asked_});
  }
  return Report;
}

void AccountMeter::onReport(InstanceId const &From,
                            ConsumptionReport const &Report, TimePoint Now) {
  auto &Peer = Peers_[From];
  Peer.HeardAt_ = Now;
  countReachable(Now);
  for (auto const &Grown : Peer.Told_.take(Report.Accounts_))
    takeOthers(Grown.Account_, static_cast<double>(Grown.Admitted_),
               static_cast<double>(Grown.Asked_), Now);
}

} // namespace laburnum
