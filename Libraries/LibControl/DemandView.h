#pragma once

#include <LibCore/Time.h>
#include <LibPeer/ConsumptionReport.h>

#include <map>
#include <vector>

namespace laburnum {

/// Demand for a service over all entry instances.
struct FleetDemand {
  double Requests_ = 0.0;  ///< Requests running and waiting.
  double PerSecond_ = 0.0; ///< Rate of arriving requests.

  auto operator<=>(FleetDemand const &) const = default;
};

/// Sums up the demand for each service from the reports of all entry
/// instances.
class DemandView {
public:
  void onReport(InstanceId const &From,
                std::vector<ServiceDemand> const &Services, TimePoint Now);
  /// Sets the time between two reports of an instance.
  void setPeriod(Duration Period);
  /// Requests a second that reach the instance, for all services.
  double perSecondAt(InstanceId const &Instance, TimePoint Now) const;
  /// The sum over the instances whose last report is still valid.
  FleetDemand demand(ServiceName const &Service, TimePoint Now) const;

private:
  Duration Validity_ = std::chrono::milliseconds(1500);
  struct ReportedDemand {
    ServiceDemand Last_;
    double PerSecond_ = 0.0;
    TimePoint ReportedAt_{};
  };
  std::map<InstanceId, std::map<ServiceName, ReportedDemand>> Instances_;
};

} // namespace laburnum
