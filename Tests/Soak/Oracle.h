#pragma once

#include <LibCore/Time.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::soak {

enum class RequestKind { Repeatable, Once };

/// The outcome of one attempt as seen by its caller.
struct CallerOutcome {
  std::string AttemptId_;
  RequestKind Kind_ = RequestKind::Repeatable;
  std::size_t Instance_ = 0;
  int Status_ = 0; ///< 0: no answer.
  std::string Body_;
  TimePoint Sent_{};
  TimePoint Ended_{};
};

/// A period in which an instance is not expected to answer.
struct Outage {
  std::size_t Instance_ = 0;
  TimePoint From_{};
  TimePoint To_{};
};

/// Checks the guarantees against the outcomes that callers received and the
/// attempts that servers started. Thread-safe.
class Oracle {
public:
  void onRun(std::string const &AttemptId, unsigned Server, TimePoint At);
  void onOutcome(CallerOutcome const &Outcome);
  void onOutage(Outage const &One);
  /// A server states that limit from now on; nothing: none any more.
  void onRateLimit(unsigned Server, std::optional<double> RequestsPerSecond,
                   TimePoint At);
  void onFinding(std::string const &What);

  /// All violations, once the run has ended. Requests sent from FaultFreeFrom
  /// on must be answered with 200.
  std::vector<std::string> findings(TimePoint FaultFreeFrom) const;
  std::size_t answered() const;
  std::size_t requests() const;

private:
  struct ServerRun {
    std::string AttemptId_;
    unsigned Server_ = 0;
    TimePoint At_{};
  };
  struct RateLimitPeriod {
    unsigned Server_ = 0;
    double RequestsPerSecond_ = 0.0;
    TimePoint From_{};
    TimePoint To_ = TimePoint::max();
  };

  void check(CallerOutcome const &One, TimePoint FaultFreeFrom,
             std::vector<std::string> &Findings) const;
  /// Checks the runs of a server while it stated a limit.
  void checkRateLimit(RateLimitPeriod const &One,
                      std::vector<std::string> &Findings) const;
  std::size_t runsOf(std::string const &AttemptId) const;
  bool overlapsOutage(CallerOutcome const &One) const;

  mutable std::mutex Mutex_;
  std::map<std::string, std::size_t> Runs_;
  std::vector<ServerRun> ServerRuns_; ///< In order of time.
  std::vector<RateLimitPeriod> RateLimits_;
  std::vector<CallerOutcome> Outcomes_;
  std::vector<Outage> Outages_;
  std::vector<std::string> Findings_;
};

} // namespace laburnum::soak
