#pragma once

#include <LibControl/BroadcastTree.h>
#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPeer/ConsumptionSum.h>
#include <LibTraffic/IncarnationConsumption.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// Decides how consumption reports are disseminated. In a small fleet each
/// instance reports to every other one. In a larger fleet all instances report
/// to a few collectors, which broadcast the sums along trees: the first two
/// instances in rendezvous order and the holder of the lease, whose tasks need
/// the reports of all instances. The messages of an instance then do not grow
/// with the fleet; those of a collector stay bounded because the report period
/// grows with the fleet.
class ConsumptionCollector {
public:
  explicit ConsumptionCollector(EntryInstance Self);

  void setMembers(std::vector<Member> const &Members, TimePoint Now);
  void setRole(CollectorRole Role, TimePoint Now);

  /// Whether each instance reports to every other one.
  bool isDirect() const { return Live_.size() <= MaxDirectInstances; }
  bool isCollector() const { return CollectorSince_.has_value(); }
  /// Time between two reports of an instance.
  Duration period() const;
  /// The endpoints of the collectors by rendezvous order.
  std::set<Endpoint> collectors() const;
  /// Receivers of this instance's reports unless isDirect().
  std::vector<Endpoint> targets(TimePoint Now) const;

  /// Adds a report. This instance's own reports have to be passed, too.
  void onReport(InstanceId const &From, ConsumptionReport const &Report,
                TimePoint Now);
  /// Returns the endpoints to forward the sum to.
  std::vector<Endpoint> onSum(ConsumptionSum const &Sum, TimePoint Now);
  /// Makes the next sum that this collector sends to rootChildren().
  ConsumptionSum sum(Duration TimeOfDay, TimePoint Now);
  std::vector<Endpoint> const &rootChildren() { return Tree_.rootChildren(); }

  /// Whether a sum of the lease holder came recently, or this instance holds
  /// the lease.
  bool isHolderReporting(TimePoint Now) const;
  /// Whether the reports received here cover all instances.
  bool isComplete(TimePoint Now) const;

private:
  static constexpr std::size_t MaxDirectInstances = 12;

  struct Incarnation {
    IncarnationConsumption Consumption_;
    TimePoint LastReceivedAt_;
  };
  struct Origin {
    Endpoint Peers_;
    TimePoint LastReceivedAt_;
  };

  void chooseCollectors(TimePoint Now);
  void forget(TimePoint Now);
  bool isFresh(TimePoint LastReceivedAt, TimePoint Now) const;

  EntryInstance Self_;
  std::vector<EntryInstance> Live_;       ///< This instance included.
  std::vector<EntryInstance> Collectors_; ///< In rendezvous order.
  CollectorRole Role_ = CollectorRole::None;
  std::optional<TimePoint> CollectorSince_;
  std::optional<TimePoint> HolderLastReceivedAt_;
  BroadcastTree Tree_;
  std::map<InstanceId, Incarnation> Incarnations_;
  std::map<AccountName, AccountConsumption> Sums_;
  std::map<InstanceId, Origin> Origins_;
  std::uint64_t Number_ = 0;
};

} // namespace laburnum
