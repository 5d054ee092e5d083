#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>

#include <map>
#include <vector>

namespace laburnum {

/// A service's requests over all entry instances.
struct FleetDemand {
  double Requests_ = 0.0;  ///< Running and waiting.
  double PerSecond_ = 0.0; ///< That come.

  auto operator<=>(FleetDemand const &) const = default;
};

/// The requests that all entry instances have at each service, from what they
/// tell each other.
class DemandView {
public:
  void onReport(InstanceId const &From,
                std::vector<ServiceDemand> const &Services, TimePoint Now);
  /// Instances report this often.
  void setPeriod(Duration Period);
  /// Over the instances heard from lately.
  FleetDemand demand(ServiceName const &Service, TimePoint Now) const;

private:
  Duration Validity_ = std::chrono::milliseconds(1500);
  struct Told {
    ServiceDemand Last_;
    double PerSecond_ = 0.0;
    TimePoint At_{};
  };
  std::map<InstanceId, std::map<ServiceName, Told>> Instances_;
};

} // namespace laburnum
