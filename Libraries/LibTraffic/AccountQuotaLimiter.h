#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibTraffic/IncarnationConsumption.h>
#include <LibTraffic/RouteTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnum {

/// Enforces account quotas as token buckets that all entry instances share.
///
/// Instances exchange consumption reports a few times a second, and each
/// mirrors the account's bucket from the reported sums. A request is admitted
/// while the bucket holds more than the other instances are expected to consume
/// before the next report. Below that level, an instance admits only its share
/// of the bucket, in proportion to its share of the account's demand. Each
/// unreachable instance keeps an equal share of the quota, so that the total
/// stays within the quota during a network partition. A request may cost more
/// than the bucket holds and then leaves it in debt, so that large requests are
/// not starved. When an account at its quota has many small requests that need
/// little of it, these are admitted first: one large request would displace
/// dozens of them.
class AccountQuotaLimiter {
public:
  struct Settings {
    /// Interval between reports; also the assumed delay of a report.
    Duration ReportPeriod_ = std::chrono::milliseconds(250);
    /// Tolerance above a quota: a fraction of its rate, and a burst in the
    /// quota's unit. Keep both below the permitted overrun, because admitted
    /// requests reach servers with a delay and other instances' consumption is
    /// reported late.
    double RateTolerance_ = 0.0;
    double BurstTolerance_ = 0.0;
  };

  /// Where the consumption of other instances is known from.
  enum class Source { Peers, Collectors };

  explicit AccountQuotaLimiter(Settings Settings) : Settings_(Settings) {}

  /// Updates the tolerances and leaves the report period unchanged.
  void setTolerances(Settings const &Settings) {
    Settings_.RateTolerance_ = Settings.RateTolerance_;
    Settings_.BurstTolerance_ = Settings.BurstTolerance_;
  }
  void setTable(std::shared_ptr<RouteTable const> Table, TimePoint Now);
  /// Sets the number of registered instances, including this one.
  void setRegistered(std::size_t Registered) { Registered_ = Registered; }

  /// Inputs of an admission decision, for logging.
  struct QuotaState {
    double Level_ = 0.0;     ///< Level of the bucket, in the quota's unit.
    double Allowance_ = 0.0; ///< Local allowance until the next report.
    std::size_t Reachable_ = 0;
    std::size_t Registered_ = 0;

    auto operator<=>(QuotaState const &) const = default;
  };
  QuotaState quotaState(AccountName const &Account) const;

  /// Returns nothing if the request is admitted, otherwise the time to wait
  /// before a retry.
  std::optional<Duration> admit(AccountName const &Account, double Amount,
                                TimePoint Now);
  /// Returns the report for the other instances and begins a new period.
  ConsumptionReport report(TimePoint Now);
  /// Handles the report of a peer, in a fleet without collectors.
  void onReport(InstanceId const &From, ConsumptionReport const &Report,
                TimePoint Now);
  /// Handles a collector's sum over all instances, including this one. Only one
  /// collector is used at a time.
  void onSum(ConsumptionSum const &Sum, TimePoint Now);
  /// Changes the interval between reports.
  void setPeriod(Duration Period);
  /// Starts counting anew if the source changes: what one source has counted is
  /// part of the totals of the other. Reports and sums change it, too.
  void setSource(Source New, TimePoint Now);

private:
  struct Usage {
    double Level_ = 0.0; ///< Level of the bucket; negative while in debt.
    TimePoint Filled_{};
    std::uint64_t Admitted_ = 0; ///< Admitted locally since the start.
    std::uint64_t Asked_ = 0;
    std::uint64_t ReportedAsked_ = 0; ///< As of the last report.
    std::uint64_t ReportedAdmitted_ = 0;
    std::uint64_t SmallAsked_ = 0; ///< Since the last report.
    double Allowance_ = 0.0;       ///< Remaining for this period.
    /// Estimated remote consumption already deducted from the bucket; replaced
    /// by the reported value when the next sum arrives.
    double Assumed_ = 0.0;
    /// Refill that was left to the other instances while no collector was
    /// heard.
    double LeftToOthers_ = 0.0;
    double LocalDemand_ = 0.0;      ///< Per period, smoothed.
    double LocalSmallDemand_ = 0.0; ///< Share of small requests in it.
    double RemoteDemand_ = 0.0;
    double RemoteAsked_ = 0.0; ///< Reported in this period.
  };
  struct Peer {
    IncarnationConsumption Consumption_;
    TimePoint LastReceivedAt_{};
    /// Set while it counts as unreachable.
    std::optional<TimePoint> UnreachableSince_;
  };

  /// A collector's sum for an account without this instance's contribution.
  struct RemoteTotal {
    double Admitted_ = 0.0;
    double Asked_ = 0.0;
  };
  struct Collector {
    std::map<AccountName, RemoteTotal> Remote_; ///< As of its last sum.
    /// As of the last sum that counted, of whichever collector.
    std::map<AccountName, RemoteTotal> Counted_;
    std::size_t Incarnations_ = 1;
    TimePoint LastReceivedAt_{};
  };

  void countReachable(TimePoint Now);
  bool hasLostCollectors() const;
  /// Returns how much of the growth that a collector reports the other
  /// instances have consumed of their own shares while no collector was heard.
  /// The bucket here never got that part of the refill.
  double takeLeftToOthers(AccountName const &Account, double Growth,
                          TimePoint Now);
  bool isFresh(Collector const &One, TimePoint Now) const;
  RemoteTotal withoutLocal(AccountConsumption const &Sum) const;
  /// Counts consumption and demand that other instances reported.
  void countRemote(AccountName const &Account, double Admitted, double Asked,
                   TimePoint Now);
  Usage &fill(AccountQuota const &Quota, AccountName const &Account,
              TimePoint Now);
  AccountQuota const *quotaOf(AccountName const &Account) const;
  /// The share of the quota that belongs to the reachable instances.
  double reachableShare() const;
  /// What a peer may have consumed of its own share in that time.
  double shareOfOne(AccountName const &Account, Duration Time) const;
  double rate(AccountQuota const &Quota) const;
  double periodSeconds() const;
  /// The refill of the bucket between two reports.
  double inflow(AccountQuota const &Quota) const;
  void assumeRemote(AccountQuota const &Quota, Usage &Account);
  double localShare(Usage const &Account) const;
  /// The level of the bucket that is reserved for small requests.
  double reservedForSmall(AccountQuota const &Quota,
                          Usage const &Account) const;

  Settings Settings_;
  std::size_t Registered_ = 0; ///< 0 until it is known.
  std::size_t Reachable_ = 1;  ///< Reporting instances, this one included.
  std::shared_ptr<RouteTable const> Table_;
  std::map<AccountName, Usage> Usage_;
  std::map<InstanceId, Peer> Peers_;
  std::map<InstanceId, Collector> Collectors_;
  Source Source_ = Source::Peers;
  /// Whether a collector is heard, as of the last count of instances, and since
  /// when that has been so.
  bool IsCollectorHeard_ = false;
  TimePoint CollectorHeardChangedAt_{};
  InstanceId ActiveCollector_; ///< Collector whose sums count; empty: none.
  bool IsSumDue_ = false;      ///< None arrived since the last report.
};

/// Returns the cost of a request in its quota's unit.
double quotaCost(AccountQuota const &Quota,
                 std::optional<std::uint64_t> const &Tokens);

} // namespace laburnum
