#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibTraffic/LifeConsumption.h>
#include <LibTraffic/RouteTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnum {

/// Holds accounts to their quotas over all entry instances together.
///
/// Every instance tells the others a few times a second what it has admitted.
/// Each keeps the account's token bucket as the sum shows it, and admits what
/// comes while the bucket holds more than the others are likely to ask before
/// the next report. Below that, it admits no more than its part of what the
/// bucket holds, by how much of the account's requests come to it. Instances
/// that are not heard from are left an equal part of the quota each, so that
/// the sum holds also when the fleet is cut apart. A request may be larger than
/// what is left and then puts the bucket into debt, so that large requests are
/// not starved. An account at its quota whose many small requests ask for
/// little of it gets these admitted first: one large request in their place
/// would cost the account dozens of them.
class AccountMeter {
public:
  struct Settings {
    /// How often reports() is sent; also the time that a report is late.
    Duration ReportPeriod_ = std::chrono::milliseconds(250);
    /// What may be given out beyond a quota: a part of its rate, and an amount
    /// at once. Below what is allowed, as what is admitted here reaches a
    /// server at another moment, and other instances' requests are heard of
    /// late.
    double Overrun_ = 0.0;
    double Slack_ = 0.0;
  };

  explicit AccountMeter(Settings Settings) : Settings_(Settings) {}

  /// The period stays as it is.
  void setOverrun(Settings const &Settings) {
    Settings_.Overrun_ = Settings.Overrun_;
    Settings_.Slack_ = Settings.Slack_;
  }
  void setTable(std::shared_ptr<RouteTable const> Table, TimePoint Now);
  /// How many instances there may be, this one included.
  void setRegistered(std::size_t Registered) { Registered_ = Registered; }

  /// What a decision on an account rests on, for the log.
  struct Standing {
    double Level_ = 0.0;     ///< Of the bucket, in the quota's unit.
    double Allowance_ = 0.0; ///< Of this instance until the next report.
    std::size_t Reachable_ = 0;
    std::size_t Registered_ = 0;

    auto operator<=>(Standing const &) const = default;
  };
  Standing standing(AccountName const &Account) const;

  /// Nothing when the request is admitted; otherwise when it may come back.
  std::optional<Duration> admit(AccountName const &Account, double Amount,
                                TimePoint Now);
  /// What to tell the other instances. Begins a new period.
  ConsumptionReport report(TimePoint Now);
  void onReport(InstanceId const &From, ConsumptionReport const &Report,
                TimePoint Now);
  /// What a collector has heard from all, this instance included. Of several
  /// collectors one at a time is gone by.
  void onSum(ConsumptionSum const &Sum, TimePoint Now);
  /// From now on reports are told this often.
  void setPeriod(Duration Period);

private:
  struct Usage {
    double Level_ = 0.0; ///< Of the account's bucket; below zero is debt.
    TimePoint Filled_{};
    std::uint64_t Admitted_ = 0; ///< Here, since the start.
    std::uint64_t Asked_ = 0;
    std::uint64_t AskedBefore_ = 0; ///< As of the last report.
    std::uint64_t AdmittedBefore_ = 0;
    std::uint64_t AskedSmall_ = 0; ///< Since the last report.
    double Allowance_ = 0.0;       ///< Left to admit in this period.
    /// Taken from the bucket for what others may have admitted since the last
    /// sum, until the next one tells.
    double Assumed_ = 0.0;
    double OwnDemand_ = 0.0;      ///< Per period, smoothed.
    double OwnSmallDemand_ = 0.0; ///< The part of it in small requests.
    double OthersDemand_ = 0.0;
    double OthersAsked_ = 0.0; ///< Heard of in this period.
  };
  struct Peer {
    LifeConsumption Told_;
    TimePoint HeardAt_{};
  };

  /// A collector's sum for an account less this instance's part.
  struct OthersTotal {
    double Admitted_ = 0.0;
    double Asked_ = 0.0;
  };
  struct Collector {
    std::map<AccountName, OthersTotal> Others_; ///< As of its last sum.
    std::size_t Incarnations_ = 1;
    TimePoint HeardAt_{};
  };

  void countReachable(TimePoint Now);
  bool isFresh(Collector const &One, TimePoint Now) const;
  OthersTotal lessOwn(AccountConsumption const &Sum) const;
  /// Counts what others were heard to have admitted and been asked for.
  void takeOthers(AccountName const &Account, double Admitted, double Asked,
                  TimePoint Now);
  Usage &fill(AccountQuota const &Quota, AccountName const &Account,
              TimePoint Now);
  AccountQuota const *quotaOf(AccountName const &Account) const;
  /// The part of the quota that the instances which are heard from share.
  double heardPart() const;
  double rate(AccountQuota const &Quota) const;
  double periodSeconds() const;
  /// What flows into the bucket between two reports.
  double inflow(AccountQuota const &Quota) const;
  void assumeOthers(AccountQuota const &Quota, Usage &Account);
  double part(Usage const &Account) const;
  /// What of the bucket large requests have to leave.
  double keptForSmall(AccountQuota const &Quota, Usage const &Account) const;

  Settings Settings_;
  std::size_t Registered_ = 0; ///< 0 until it is known.
  std::size_t Reachable_ = 1;  ///< Heard from lately, this one included.
  std::shared_ptr<RouteTable const> Table_;
  std::map<AccountName, Usage> Usage_;
  std::map<InstanceId, Peer> Peers_;
  std::map<InstanceId, Collector> Collectors_;
  InstanceId Followed_;   ///< The collector that is gone by; empty: none.
  bool IsSumDue_ = false; ///< None came since the last report.
};

/// What a request counts for in its account's quota.
double quotaCost(AccountQuota const &Quota,
                 std::optional<std::uint64_t> const &Tokens);

} // namespace laburnum
