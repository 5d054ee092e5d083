#include "Oracle.h"

#include <EntryProcess/CrashableServer.h>
#include <RateLimits/RateLimitWindow.h>

#include <algorithm>

namespace laburnum::soak {

using rate_limits::allowedInWindow;
using rate_limits::mostInWindow;
using rate_limits::SettlingTime;

namespace {

/// A request that was sent this long before the end of its connection has
/// arrived by then.
constexpr std::chrono::milliseconds TransitTime{200};

/// Whether the status guarantees that the request has not run.
bool isNotRunPromise(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

void Oracle::onRun(std::string const &AttemptId, unsigned Server,
                   TimePoint At) {
  std::lock_guard const Lock(Mutex_);
  ++Runs_[AttemptId];
  ServerRuns_.push_back({AttemptId, Server, At});
}

void Oracle::onRateLimit(unsigned Server,
                         std::optional<double> RequestsPerSecond,
                         TimePoint At) {
  std::lock_guard const Lock(Mutex_);
  for (auto &One : RateLimits_)
    if (One.Server_ == Server)
      One.To_ = std::min(One.To_, At);
  if (RequestsPerSecond)
    RateLimits_.push_back({Server, *RequestsPerSecond, At, TimePoint::max()});
}

void Oracle::onOutcome(CallerOutcome const &Outcome) {
  std::lock_guard const Lock(Mutex_);
  Outcomes_.push_back(Outcome);
}

void Oracle::onOutage(Outage const &One) {
  std::lock_guard const Lock(Mutex_);
  Outages_.push_back(One);
}

void Oracle::onFinding(std::string const &What) {
  std::lock_guard const Lock(Mutex_);
  Findings_.push_back(What);
}

std::vector<std::string> Oracle::findings(TimePoint FaultFreeFrom) const {
  std::lock_guard const Lock(Mutex_);
  auto Findings = Findings_;
  for (auto const &One : Outcomes_)
    check(One, FaultFreeFrom, Findings);
  for (auto const &One : RateLimits_)
    checkRateLimit(One, Findings);
  return Findings;
}

void Oracle::checkRateLimit(RateLimitPeriod const &One,
                            std::vector<std::string> &Findings) const {
  std::map<std::string, std::size_t> InstanceOf;
  for (auto const &Outcome : Outcomes_)
    InstanceOf[Outcome.AttemptId_] = Outcome.Instance_;
  std::vector<TimePoint> Times;
  for (auto const &Run : ServerRuns_) {
    if (Run.Server_ != One.Server_ || Run.At_ < One.From_ + SettlingTime ||
        Run.At_ >= One.To_)
      continue;
    auto const Instance = InstanceOf.find(Run.AttemptId_);
    bool const IsExcused =
        Instance == InstanceOf.end() ||
        std::any_of(Outages_.begin(), Outages_.end(), [&](Outage const &Any) {
          return Any.Instance_ == Instance->second && Any.From_ <= Run.At_ &&
                 Any.To_ >= One.From_;
        });
    if (!IsExcused)
      Times.push_back(Run.At_);
  }
  auto const Most = mostInWindow(Times);
  if (static_cast<double>(Most) > allowedInWindow(One.RequestsPerSecond_))
    Findings.push_back(
        "server " + std::to_string(One.Server_) + " with a limit of " +
        std::to_string(One.RequestsPerSecond_) + " a second got " +
        std::to_string(Most) + " requests in 4 s");
}

std::size_t Oracle::answered() const {
  std::lock_guard const Lock(Mutex_);
  return static_cast<std::size_t>(
      std::count_if(Outcomes_.begin(), Outcomes_.end(),
                    [](auto const &One) { return One.Status_ == 200; }));
}

std::size_t Oracle::requests() const {
  std::lock_guard const Lock(Mutex_);
  return Outcomes_.size();
}

void Oracle::check(CallerOutcome const &One, TimePoint FaultFreeFrom,
                   std::vector<std::string> &Findings) const {
  auto const Runs = runsOf(One.AttemptId_);
  auto const Report = [&](std::string const &What) {
    Findings.push_back(One.AttemptId_ + " at instance " +
                       std::to_string(One.Instance_) + ", status " +
                       std::to_string(One.Status_) + ", begun " +
                       std::to_string(Runs) + " times: " + What);
  };
  if (One.Status_ == 200 &&
      One.Body_ !=
          entry_process::CrashableServer::expectedAnswer(One.AttemptId_))
    Report("not the complete answer to this request");
  if (One.Kind_ == RequestKind::Once && Runs > 1)
    Report("ran more than once");
  if (One.Kind_ == RequestKind::Once && isNotRunPromise(One.Status_) &&
      Runs > 0)
    Report("reported as not run, but ran");
  if (One.Status_ >= 400 && One.Status_ < 500 && !isNotRunPromise(One.Status_))
    Report("rejected although valid");
  if (overlapsOutage(One))
    return;
  if (One.Status_ == 0 && Runs > 0)
    Report("started and disconnected without an answer");
  else if (One.Status_ == 0 && One.Ended_ - One.Sent_ > TransitTime)
    Report("arrived and disconnected without an answer");
  if (One.Sent_ >= FaultFreeFrom && One.Status_ != 200)
    Report("not served although the last fault is long over");
}

std::size_t Oracle::runsOf(std::string const &AttemptId) const {
  auto const Found = Runs_.find(AttemptId);
  return Found == Runs_.end() ? 0 : Found->second;
}

bool Oracle::overlapsOutage(CallerOutcome const &One) const {
  return std::any_of(
      Outages_.begin(), Outages_.end(), [&](auto const &Interval) {
        return Interval.Instance_ == One.Instance_ &&
               Interval.From_ <= One.Ended_ && Interval.To_ >= One.Sent_;
      });
}

} // namespace laburnum::soak
