#pragma once

#include <LibCore/Time.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace laburnum::soak {

enum class RequestKind { Repeatable, Once };

/// What a caller got for one attempt.
struct CallerOutcome {
  std::string AttemptId_;
  RequestKind Kind_ = RequestKind::Repeatable;
  std::size_t Instance_ = 0;
  int Status_ = 0; ///< 0: no answer.
  std::string Body_;
  TimePoint Sent_{};
  TimePoint Ended_{};
};

/// When an instance could not be expected to answer.
struct Outage {
  std::size_t Instance_ = 0;
  TimePoint From_{};
  TimePoint To_{};
};

/// Judges by what callers got and what servers began. Any thread may report.
class Oracle {
public:
  void onRun(std::string const &AttemptId);
  void onOutcome(CallerOutcome const &Outcome);
  void onOutage(Outage const &One);
  void onFinding(std::string const &What);

  /// Everything that broke a promise; asked once all has ended. Requests sent
  /// after CalmFrom have to be answered.
  std::vector<std::string> findings(TimePoint CalmFrom) const;
  std::size_t answered() const;
  std::size_t requests() const;

private:
  void judge(CallerOutcome const &One, TimePoint CalmFrom,
             std::vector<std::string> &Findings) const;
  std::size_t runsOf(std::string const &AttemptId) const;
  bool isExcused(CallerOutcome const &One) const;

  mutable std::mutex Mutex_;
  std::map<std::string, std::size_t> Runs_;
  std::vector<CallerOutcome> Outcomes_;
  std::vector<Outage> Outages_;
  std::vector<std::string> Findings_;
};

} // namespace laburnum::soak
