#pragma once

#include <LibCore/Time.h>
#include <LibPeer/EngineWork.h>
#include <LibTraffic/RequestWork.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// Measures what the requests that come to one instance ask of the model
/// servers of each service.
class ServiceWorkMeter {
public:
  /// Whether the first event of a request is due as soon as any of its
  /// service's.
  enum class Urgency { Urgent, Other };
  /// A request has come, whether or not it is served.
  void onRequest(ServiceName const &Service, RequestWork const &Work,
                 Urgency Due);
  /// A server has begun to answer. Took is the time since the request was sent
  /// to it.
  void onFirstEvent(ServiceName const &Service, RequestWork const &Work,
                    Duration Took);

  /// Returns the measurements. To be called once for each report.
  std::vector<ServiceWork> report(TimePoint Now);

private:
  struct Entry {
    std::uint64_t NewTokens_ = 0; ///< Since the last report.
    std::uint64_t NewUrgentTokens_ = 0;
    double TokensPerSecond_ = 0.0;
    double UrgentPerSecond_ = 0.0;
    /// Sums over the answers, as in ServiceWork.
    double Answers_ = 0.0;
    double Tokens_ = 0.0;
    double SquaredTokens_ = 0.0;
    double Milliseconds_ = 0.0;
    double TokenMilliseconds_ = 0.0;
  };

  std::map<ServiceName, Entry> Services_;
  TimePoint ReportedAt_ = TimePoint::min();
};

/// Adds up the measurements of several instances.
std::vector<ServiceWork>
sumOf(std::vector<std::vector<ServiceWork>> const &Reports);

/// Returns how many more tokens a server reads in each further second, or
/// nothing before that is known. It is the slope of the answers' times over
/// their prompts: the time that requests wait for others does not change it.
std::optional<double> readingSpeed(ServiceWork const &Work);

/// Returns the mean of the tokens that are left of the prompt that a busy
/// server reads when a request arrives.
double residualTokens(ServiceWork const &Work);

} // namespace laburnum
