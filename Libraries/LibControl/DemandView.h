#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>

#include <map>
#include <vector>

namespace laburnum {

/// The requests that all entry instances have at each service, from what they
/// tell each other.
class DemandView {
public:
  void onReport(InstanceId const &From,
                std::vector<ServiceDemand> const &Services, TimePoint Now);
  /// Running and waiting requests, over the instances heard from lately.
  double demand(ServiceName const &Service, TimePoint Now) const;

private:
  struct Told {
    std::vector<ServiceDemand> Services_;
    TimePoint At_{};
  };
  std::map<InstanceId, Told> Instances_;
};

} // namespace laburnum
