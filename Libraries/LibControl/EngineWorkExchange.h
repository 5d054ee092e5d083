#pragma once

#include <LibControl/BroadcastTree.h>
#include <LibCore/Time.h>
#include <LibPeer/EngineWork.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// Combines the reports of work at model servers. Reports go where the
/// ConsumptionReports go, and collectors broadcast the sums along trees.
/// Without collectors each instance makes the sum for itself.
class EngineWorkExchange {
public:
  explicit EngineWorkExchange(EntryInstance Self);

  void setMembers(std::vector<Member> const &Members,
                  std::set<Endpoint> Collectors);
  /// Sets the time between two reports of an instance.
  void setPeriod(Duration Period) { Period_ = Period; }

  /// Adds a report. This instance's own reports have to be passed, too.
  void onReport(InstanceId const &From, EngineWorkReport const &Report,
                TimePoint Now);
  /// Makes the next sum of the reports that are still valid.
  EngineWorkSum sum(TimePoint Now);
  std::vector<Endpoint> const &rootChildren() { return Tree_.rootChildren(); }
  /// Returns the endpoints to forward the sum to, or std::nullopt if it is not
  /// newer than the last one of its origin.
  std::optional<std::vector<Endpoint>> onSum(EngineWorkSum const &Sum,
                                             TimePoint Now);

private:
  struct Received {
    EngineWorkReport Report_;
    TimePoint At_;
  };

  EntryInstance Self_;
  BroadcastTree Tree_;
  Duration Period_ = std::chrono::milliseconds(400);
  std::map<InstanceId, Received> Reports_;
  std::uint64_t Number_ = 0;
};

} // namespace laburnum
