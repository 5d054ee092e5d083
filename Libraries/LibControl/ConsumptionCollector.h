#pragma once

#include <LibControl/NewsTree.h>
#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibTraffic/IncarnationConsumption.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// Decides how instances learn of each other's consumption. In a small fleet
/// each tells every other one. In a larger one all report to a few collectors,
/// who send the sum to everybody along trees: the first two instances in
/// rendezvous order, and whoever holds the lease, as its duties need what all
/// report. Messages of an instance then do not grow with the fleet; a
/// collector's stay bounded as reports come less often in a larger one.
class ConsumptionCollector {
public:
  explicit ConsumptionCollector(EntryInstance Self);

  void setMembers(std::vector<Member> const &Members, TimePoint Now);
  void setDuty(CollectorDuty Duty, TimePoint Now);

  /// Whether each instance tells every other one.
  bool isDirect() const { return Live_.size() <= MostDirect; }
  bool isCollector() const { return CollectsSince_.has_value(); }
  /// Between two reports of an instance.
  Duration period() const;
  /// Where this instance's reports go, when it does not tell everybody.
  std::vector<Endpoint> targets(TimePoint Now) const;

  /// From is this instance, too.
  void onReport(InstanceId const &From, ConsumptionReport const &Report,
                TimePoint Now);
  /// Yields whom to pass the sum on to.
  std::vector<Endpoint> onSum(ConsumptionSum const &Sum, TimePoint Now);
  /// What a collector tells, and whom.
  ConsumptionSum sum(Duration TimeOfDay, TimePoint Now);
  std::vector<Endpoint> const &starts() { return Tree_.starts(); }

  /// Whether the holder of the lease was heard lately, or this one is it.
  bool isHolderHeard(TimePoint Now) const;
  /// Whether what this instance has heard is what all have.
  bool isComplete(TimePoint Now) const;

private:
  static constexpr std::size_t MostDirect = 12;

  struct Life {
    IncarnationConsumption Told_;
    TimePoint HeardAt_;
  };
  struct Origin {
    Endpoint Peers_;
    TimePoint HeardAt_;
  };

  void chooseCollectors(TimePoint Now);
  void forget(TimePoint Now);
  bool isFresh(TimePoint HeardAt, TimePoint Now) const;

  EntryInstance Self_;
  std::vector<EntryInstance> Live_;  ///< This instance included.
  std::vector<EntryInstance> First_; ///< The collectors by rank.
  CollectorDuty Duty_ = CollectorDuty::None;
  std::optional<TimePoint> CollectsSince_;
  std::optional<TimePoint> HolderHeardAt_;
  NewsTree Tree_;
  std::map<InstanceId, Life> Lives_;
  std::map<AccountName, AccountConsumption> Sums_;
  std::map<InstanceId, Origin> Origins_;
  std::uint64_t Number_ = 0;
};

} // namespace laburnum
