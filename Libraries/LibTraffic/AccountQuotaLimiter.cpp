#include <LibTraffic/AccountQuotaLimiter.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Weight of the newest period in the smoothed demand.
constexpr double DemandWeight = 0.2;
/// An instance may always use this fraction of its equal share of the bucket,
/// so that an account's first requests are not refused for lack of history.
constexpr double MinEqualShareFraction = 0.5;
/// A peer that missed this many reports counts as unreachable, and its equal
/// share of the quota is reserved for it.
constexpr std::int64_t MaxMissedReports = 4;
/// The same for a collector's sums. Lower, because nothing is known of any
/// other instance without them and a second collector takes over.
constexpr std::int64_t MaxMissedSums = 2;
/// How long the totals of a silent peer are retained, so that counting
/// continues from them when it reports again. The first report of a peer
/// without totals counts nothing.
constexpr std::chrono::seconds PeerRetention{60};
/// Share of a quota that an instance grants before it knows the number of
/// instances.
constexpr double ShareBeforeMembership = 0.1;
/// While the bucket holds more than the remote demand of this many periods,
/// local requests cannot empty it before the next report.
constexpr double ReservedPeriods = 2.0;
/// Fraction of a burst that is used where collectors sum up the reports: until
/// a sum shows a sudden demand, all instances admit it.
constexpr double UsedBurstWithCollectors = 0.9;
/// A request is small if it costs at most this fraction of the refill per
/// second.
constexpr double SmallRequestFraction = 0.02;
/// The demand of small requests in this time is reserved for them, so that
/// large requests do not displace them between two reports.
constexpr double ReservedSeconds = 1.0;
/// Nothing is reserved if small requests demand more than this fraction of the
/// quota, because large requests would otherwise be starved.
constexpr double MaxReservedDemand = 0.3;
/// Large requests admitted concurrently at several instances put the bucket
/// into debt. Small requests, whose demand is below the refill, are admitted
/// down to a debt of this many seconds of refill. A tenth of overrun in eight
/// seconds would be twice that.
constexpr double MaxDebtSeconds = 0.4;
/// Bounds of the Retry-After of refused requests.
constexpr std::chrono::milliseconds MinRetryAfter{100};
constexpr std::chrono::seconds MaxRetryAfter{5};

} // namespace

double quotaCost(AccountQuota const &Quota,
                 std::optional<std::uint64_t> const &Tokens) {
  if (Quota.Unit_ == QuotaUnit::Requests)
    return 1.0;
  return Tokens ? static_cast<double>(*Tokens) : Quota.PlainTokens_;
}

AccountQuota const *
AccountQuotaLimiter::quotaOf(AccountName const &Account) const {
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

double AccountQuotaLimiter::reachableShare() const {
  if (Registered_ == 0)
    return ShareBeforeMembership;
  return static_cast<double>(Reachable_) /
         static_cast<double>(std::max(Registered_, Reachable_));
}

double AccountQuotaLimiter::shareOfOne(AccountName const &Account,
                                       Duration Time) const {
  auto const *const Quota = quotaOf(Account);
  return Quota ? rate(*Quota) / static_cast<double>(Reachable_) *
                     std::chrono::duration<double>(Time).count()
               : 0.0;
}

double AccountQuotaLimiter::rate(AccountQuota const &Quota) const {
  // What is admitted until a sum shows it takes the tolerance.
  auto const Tolerance = Collectors_.empty() ? Settings_.RateTolerance_ : 0.0;
  return Quota.RatePerSecond_ * (1.0 + Tolerance) * reachableShare();
}

double AccountQuotaLimiter::periodSeconds() const {
  return std::chrono::duration<double>(Settings_.ReportPeriod_).count();
}

double AccountQuotaLimiter::inflow(AccountQuota const &Quota) const {
  return rate(Quota) * periodSeconds();
}

bool AccountQuotaLimiter::isFresh(Collector const &One, TimePoint Now) const {
  return One.LastReceivedAt_ + Settings_.ReportPeriod_ * MaxMissedSums >= Now;
}

void AccountQuotaLimiter::countReachable(TimePoint Now) {
  std::size_t Reachable = 1;
  for (auto &[Id, Peer] : Peers_) {
    if (Peer.LastReceivedAt_ + Settings_.ReportPeriod_ * MaxMissedReports >=
        Now)
      ++Reachable;
    else if (!Peer.UnreachableSince_)
      Peer.UnreachableSince_ = Now;
  }
  bool IsCollectorHeard = false;
  for (auto const &[Id, Collector] : Collectors_) {
    if (!isFresh(Collector, Now))
      continue;
    IsCollectorHeard = true;
    Reachable = std::max(Reachable, Collector.Incarnations_);
  }
  if (Reachable == Reachable_ && IsCollectorHeard == IsCollectorHeard_)
    return;
  // The refill up to now was at the old rate.
  for (auto const &[Account, Usage] : Usage_)
    if (auto const *const Quota = quotaOf(Account))
      fill(*Quota, Account, Now);
  Reachable_ = Reachable;
  if (std::exchange(IsCollectorHeard_, IsCollectorHeard) != IsCollectorHeard)
    CollectorHeardChangedAt_ = Now;
  std::erase_if(Peers_, [&](auto const &One) {
    return One.second.LastReceivedAt_ + PeerRetention < Now;
  });
  std::erase_if(Collectors_, [&](auto const &One) {
    return One.second.LastReceivedAt_ + PeerRetention < Now;
  });
}

bool AccountQuotaLimiter::hasLostCollectors() const {
  return Source_ == Source::Collectors && !IsCollectorHeard_;
}

double AccountQuotaLimiter::takeLeftToOthers(AccountName const &Account,
                                             double Growth, TimePoint Now) {
  auto const Found = Usage_.find(Account);
  auto const *const Quota = quotaOf(Account);
  if (Found == Usage_.end() || !Quota)
    return 0.0;
  auto &Left = Found->second.LeftToOthers_;
  // A collector has the reports of all instances only some periods after it
  // was heard again.
  if (CollectorHeardChangedAt_ + Settings_.ReportPeriod_ * MaxMissedReports <
      Now)
    Left = 0.0;
  auto const Taken = std::clamp(Growth - inflow(*Quota), 0.0, Left);
  Left -= Taken;
  return Taken;
}

void AccountQuotaLimiter::setSource(Source New, TimePoint Now) {
  if (std::exchange(Source_, New) == New)
    return;
  for (auto &[Account, Usage] : Usage_)
    if (auto const *const Quota = quotaOf(Account)) {
      fill(*Quota, Account, Now);
      // The first report of each peer counts nothing.
      if (New == Source::Peers)
        assumeRemote(*Quota, Usage);
      Usage.Assumed_ = 0.0;
      Usage.LeftToOthers_ = 0.0;
    }
  for (auto &[Id, Peer] : Peers_)
    Peer.Consumption_ = IncarnationConsumption();
  Collectors_.clear();
  ActiveCollector_ = InstanceId();
  IsSumDue_ = New == Source::Collectors;
  IsCollectorHeard_ = false;
  CollectorHeardChangedAt_ = Now;
}

void AccountQuotaLimiter::setPeriod(Duration Period) {
  if (Period == Settings_.ReportPeriod_)
    return;
  auto const Ratio = std::chrono::duration<double>(Period) /
                     std::chrono::duration<double>(Settings_.ReportPeriod_);
  for (auto &[Account, Usage] : Usage_) {
    Usage.LocalDemand_ *= Ratio;
    Usage.LocalSmallDemand_ *= Ratio;
    Usage.RemoteDemand_ *= Ratio;
  }
  Settings_.ReportPeriod_ = Period;
}

void AccountQuotaLimiter::onSum(ConsumptionSum const &Sum, TimePoint Now) {
  setSource(Source::Collectors, Now);
  auto const [Found, IsNew] = Collectors_.try_emplace(Sum.Origin_);
  auto &Collector = Found->second;
  Collector.LastReceivedAt_ = Now;
  Collector.Incarnations_ = std::max<std::size_t>(1, Sum.Incarnations_);
  countReachable(Now);
  auto const Active = Collectors_.find(ActiveCollector_);
  if (Active == Collectors_.end() || !isFresh(Active->second, Now))
    ActiveCollector_ = Sum.Origin_;
  bool const Counts = ActiveCollector_ == Sum.Origin_ && !IsNew;
  if (Counts)
    IsSumDue_ = false;
  for (auto const &One : Sum.Accounts_) {
    auto const Remote = withoutLocal(One);
    Collector.Remote_[One.Account_] = Remote;
    if (IsNew)
      Collector.Counted_[One.Account_] = Remote;
    if (!Counts)
      continue;
    auto const Last = std::exchange(Collector.Counted_[One.Account_], Remote);
    // The sum includes the consumption that was assumed meanwhile.
    auto const Known = Usage_.find(One.Account_);
    auto const Assumed = Known == Usage_.end()
                             ? 0.0
                             : std::exchange(Known->second.Assumed_, 0.0);
    auto const Growth = Remote.Admitted_ - Last.Admitted_ - Assumed;
    countRemote(One.Account_,
                Growth - takeLeftToOthers(One.Account_, Growth, Now),
                std::max(0.0, Remote.Asked_ - Last.Asked_), Now);
  }
  // The growth that this collector will show does not include what was assumed
  // before its first sum.
  if (IsNew)
    for (auto &[Account, Usage] : Usage_) {
      Usage.Assumed_ = 0.0;
      Usage.LeftToOthers_ = 0.0;
    }
  if (ActiveCollector_ != Sum.Origin_)
    return;
  // Should another one take over, what it has reported until now counts
  // already.
  for (auto &[Id, Known] : Collectors_)
    Known.Counted_ = Known.Remote_;
}

/// The sum reflects the last local report to within one report; the next sum
/// corrects the difference.
AccountQuotaLimiter::RemoteTotal
AccountQuotaLimiter::withoutLocal(AccountConsumption const &Sum) const {
  RemoteTotal Remote{static_cast<double>(Sum.Admitted_),
                     static_cast<double>(Sum.Asked_)};
  if (auto const Local = Usage_.find(Sum.Account_); Local != Usage_.end()) {
    Remote.Admitted_ -= static_cast<double>(Local->second.ReportedAdmitted_);
    Remote.Asked_ -= static_cast<double>(Local->second.ReportedAsked_);
  }
  return Remote;
}

void AccountQuotaLimiter::countRemote(AccountName const &Account,
                                      double Admitted, double Asked,
                                      TimePoint Now) {
  auto const *const Quota = quotaOf(Account);
  if (!Quota)
    return;
  auto &Usage = fill(*Quota, Account, Now);
  Usage.Level_ -= Admitted;
  Usage.RemoteAsked_ += Asked;
}

AccountQuotaLimiter::Usage &
AccountQuotaLimiter::fill(AccountQuota const &Quota, AccountName const &Account,
                          TimePoint Now) {
  auto const [Found, IsNew] = Usage_.try_emplace(Account);
  auto &Usage = Found->second;
  // The burst counts towards what a window permits, so it is divided among the
  // instances like the rate.
  auto const Burst = Collectors_.empty()
                         ? Quota.Burst_ + Settings_.BurstTolerance_
                         : Quota.Burst_ * UsedBurstWithCollectors;
  auto const Depth = Burst * reachableShare();
  if (IsNew) {
    Usage.Level_ = Depth;
    Usage.Filled_ = Now;
    Usage.Allowance_ = Depth * localShare(Usage);
  }
  auto const Elapsed =
      std::chrono::duration<double>(Now - Usage.Filled_).count();
  auto const Refill = std::max(0.0, Elapsed) * rate(Quota);
  Usage.Level_ = std::min(Depth, Usage.Level_ + Refill);
  if (hasLostCollectors())
    Usage.LeftToOthers_ += Refill / reachableShare() - Refill;
  Usage.Filled_ = Now;
  return Usage;
}

double AccountQuotaLimiter::localShare(Usage const &Account) const {
  auto const Equal = 1.0 / static_cast<double>(Reachable_);
  auto const Total = Account.LocalDemand_ + Account.RemoteDemand_;
  auto const ByDemand = Total > 0.0 ? Account.LocalDemand_ / Total : Equal;
  return std::clamp(ByDemand, MinEqualShareFraction * Equal, 1.0);
}

/// Assumes the same proportion of small requests on the other instances.
double AccountQuotaLimiter::reservedForSmall(AccountQuota const &Quota,
                                             Usage const &Account) const {
  if (Account.LocalDemand_ <= 0.0)
    return 0.0;
  auto const All =
      (Account.LocalDemand_ + Account.RemoteDemand_) / periodSeconds();
  auto const Small = All * Account.LocalSmallDemand_ / Account.LocalDemand_;
  return Small > MaxReservedDemand * rate(Quota) ? 0.0
                                                 : Small * ReservedSeconds;
}

void AccountQuotaLimiter::setTable(std::shared_ptr<RouteTable const> Table,
                                   TimePoint Now) {
  Table_ = std::move(Table);
  std::erase_if(Usage_,
                [&](auto const &One) { return quotaOf(One.first) == nullptr; });
  for (auto &[Account, Usage] : Usage_) {
    // A lower limit takes effect at once, also for the rest of the period.
    fill(*quotaOf(Account), Account, Now);
    Usage.Allowance_ = std::min(Usage.Allowance_, std::max(0.0, Usage.Level_) *
                                                      localShare(Usage));
  }
}

std::optional<Duration> AccountQuotaLimiter::admit(AccountName const &Account,
                                                   double Amount,
                                                   TimePoint Now) {
  auto const *const Quota = quotaOf(Account);
  if (!Quota)
    return std::nullopt;
  auto &Usage = fill(*Quota, Account, Now);
  auto const RoundedAmount = static_cast<std::uint64_t>(Amount);
  Usage.Asked_ += RoundedAmount;
  bool const IsSmall = Amount <= SmallRequestFraction * Quota->RatePerSecond_;
  if (IsSmall)
    Usage.SmallAsked_ += RoundedAmount;
  auto const ReservedSmall = reservedForSmall(*Quota, Usage);
  bool const IsPreferred = IsSmall && ReservedSmall > 0.0;
  auto const Free = IsSmall ? Usage.Level_ : Usage.Level_ - ReservedSmall;
  // Expected remote consumption before the next report, beyond the refill.
  auto const Reserved =
      std::max(0.0, Usage.RemoteDemand_ - inflow(*Quota)) * ReservedPeriods;
  bool const HasRoom =
      Free > 0.0 && (Free > Reserved || Usage.Allowance_ > 0.0);
  if (HasRoom ||
      (IsPreferred && Usage.Level_ > -MaxDebtSeconds * rate(*Quota))) {
    Usage.Admitted_ += RoundedAmount;
    Usage.Level_ -= Amount;
    Usage.Allowance_ -= Amount;
    return std::nullopt;
  }
  auto const Debt = std::max(0.0, -Free) + Amount;
  auto const Wait = Duration(
      static_cast<Duration::rep>(Debt / std::max(rate(*Quota), 1e-9) * 1e6));
  return std::clamp<Duration>(Wait, MinRetryAfter, MaxRetryAfter);
}

AccountQuotaLimiter::QuotaState
AccountQuotaLimiter::quotaState(AccountName const &Account) const {
  auto const Found = Usage_.find(Account);
  if (Found == Usage_.end())
    return {0.0, 0.0, Reachable_, Registered_};
  return {Found->second.Level_, Found->second.Allowance_, Reachable_,
          Registered_};
}

/// While a sum is missing, the bucket must not appear to fill while other
/// instances consume from it.
void AccountQuotaLimiter::assumeRemote(AccountQuota const &Quota,
                                       Usage &Account) {
  auto const Taken = std::min(Account.RemoteDemand_, inflow(Quota));
  Account.Assumed_ += Taken;
  Account.Level_ -= Taken;
}

ConsumptionReport AccountQuotaLimiter::report(TimePoint Now) {
  countReachable(Now);
  // Without collectors, the bucket gets only this instance's share, from which
  // the others do not consume. Those that still hear one consume this share too
  // until they miss this instance.
  bool const IsShareLeft =
      hasLostCollectors() &&
      CollectorHeardChangedAt_ + Settings_.ReportPeriod_ * MaxMissedReports <=
          Now;
  bool const IsSumMissing = std::exchange(IsSumDue_, true) &&
                            Source_ == Source::Collectors && !IsShareLeft;
  ConsumptionReport Report;
  for (auto &[Account, Usage] : Usage_) {
    auto const *const Quota = quotaOf(Account);
    if (!Quota)
      continue;
    fill(*Quota, Account, Now);
    if (IsSumMissing)
      assumeRemote(*Quota, Usage);
    auto const Asked = static_cast<double>(Usage.Asked_ - Usage.ReportedAsked_);
    Usage.ReportedAsked_ = Usage.Asked_;
    Usage.ReportedAdmitted_ = Usage.Admitted_;
    Usage.LocalDemand_ += DemandWeight * (Asked - Usage.LocalDemand_);
    Usage.LocalSmallDemand_ +=
        DemandWeight * (static_cast<double>(std::exchange(Usage.SmallAsked_,
                                                          std::uint64_t{0})) -
                        Usage.LocalSmallDemand_);
    Usage.RemoteDemand_ +=
        DemandWeight * (Usage.RemoteAsked_ - Usage.RemoteDemand_);
    Usage.RemoteAsked_ = 0.0;
    Usage.Allowance_ =
        std::max(0.0, Usage.Level_ - reservedForSmall(*Quota, Usage)) *
        localShare(Usage);
    Report.Accounts_.push_back({Account, Usage.Admitted_, Usage.Asked_});
  }
  return Report;
}

void AccountQuotaLimiter::onReport(InstanceId const &From,
                                   ConsumptionReport const &Report,
                                   TimePoint Now) {
  setSource(Source::Peers, Now);
  auto &Peer = Peers_[From];
  Peer.LastReceivedAt_ = Now;
  auto const UnreachableSince =
      std::exchange(Peer.UnreachableSince_, std::nullopt);
  auto const Unreachable =
      UnreachableSince ? Now - *UnreachableSince : Duration(0);
  countReachable(Now);
  // The bucket here got no refill for the share of a peer while it counted as
  // unreachable.
  for (auto const &Growth : Peer.Consumption_.take(Report.Accounts_))
    countRemote(Growth.Account_,
                std::max(0.0, static_cast<double>(Growth.Admitted_) -
                                  shareOfOne(Growth.Account_, Unreachable)),
                static_cast<double>(Growth.Asked_), Now);
}

} // namespace laburnum
