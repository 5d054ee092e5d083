#pragma once

#include <LibCore/Time.h>
#include <LibPeer/EngineWork.h>
#include <LibTraffic/RequestWork.h>

#include <cstdint>
#include <map>
#include <vector>

namespace laburnum {

/// Measures what the requests for each service ask of its model servers, and
/// how fast an idle server reads. Used by one instance; the collectors combine
/// the instances' measurements.
class ServiceWorkMeter {
public:
  /// A request has come, whether or not it is served.
  void onRequest(ServiceName const &Service, RequestWork const &Work);
  /// A server has begun to answer. Took is the time since the request was sent
  /// to it.
  void onFirstEvent(ServiceName const &Service, RequestWork const &Work,
                    Duration Took);

  /// Returns the measurements since the last call.
  std::vector<ServiceWork> report(TimePoint Now);

private:
  struct Entry {
    std::uint64_t Tokens_ = 0; ///< Since the last report.
    double TokensPerSecond_ = 0.0;
    /// Smoothed sums over requests, for their mean residual.
    double Size_ = 0.0;
    double SquaredSize_ = 0.0;
    double ReadPerSecond_ = 0.0; ///< 0: not known yet.
  };

  std::map<ServiceName, Entry> Services_;
  TimePoint ReportedAt_ = TimePoint::min();
};

/// Combines the measurements of several instances: rates are added, speeds and
/// sizes are averaged by the rates.
std::vector<ServiceWork>
combineWork(std::vector<std::vector<ServiceWork>> const &Reports);

} // namespace laburnum
