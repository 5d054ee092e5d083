#pragma once

#include <LibCore/Time.h>
#include <LibGuard/CrashJudge.h>
#include <LibModel/AttemptEvidence.h>
#include <LibModel/BackendServer.h>
#include <LibPeer/CrashReports.h>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace laburnum {

/// What requests of one content may do.
enum class CrashVerdict {
  Run,
  RunAlone, ///< Suspect: only on a server with no other work.
  Wait,     ///< Suspect, and a copy of it runs or has just broken off.
  Refuse,   ///< What the policy asks for has happened.
};

/// Where suspects run, and when a content is refused.
struct CrashPolicy {
  /// Not set: suspects run apart, and a content is refused when a second server
  /// crashed under it while nothing else ran there. Set: suspects run beside
  /// other requests, and a content is refused once this many servers crashed
  /// under it.
  std::optional<std::size_t> MostSharedCrashes_;

  auto operator<=>(CrashPolicy const &) const = default;
};

/// Whether anything else may run on the server of an attempt.
enum class Company { Shared, Alone };

/// Keeps requests that crash servers from crashing more of them. Requests are
/// known by their content, since a caller sends the same one under a new key.
///
/// An attempt whose connection broke on a server that is not known to be
/// leaving makes its content a suspect at once. The break is then judged (see
/// judgeBreak()): a broken link or a reclaim clears the content, a crash leaves
/// it suspect. A whole answer to the content clears it. What else becomes of
/// suspects is up to the policy. Where they run apart, content that only shared
/// crashed servers is never refused, and content that is refused stays so.
/// Where they don't, content that was answered whole a moment ago, as popular
/// content always was, is no suspect.
///
/// Reports merge by value: any order, loss of all but one, and repetition of
/// reports give the same state. Safe to call from several threads.
class CrashGuard {
public:
  /// Seed must differ between processes: incidents are named from it.
  explicit CrashGuard(std::uint64_t Seed, CrashPolicy Policy = {})
      : Policy_(Policy), Generator_(Seed) {}

  CrashVerdict verdict(std::uint64_t Fingerprint, TimePoint Now) const;
  /// Until when content that shared crashed servers is refused; nothing when
  /// it is not.
  std::optional<TimePoint> refusedUntil(std::uint64_t Fingerprint,
                                        TimePoint Now) const;
  /// Servers on which the content broke off.
  std::set<ServerId> brokenOffOn(std::uint64_t Fingerprint,
                                 TimePoint Now) const;
  /// Whether it tells of a reclaim when Other has gone too. Not when Other
  /// broke off long ago, nor when a content broke off on both.
  bool isWitness(ServerId const &Server, ServerId const &Other,
                 TimePoint Now) const;

  void onStarted(std::uint64_t Fingerprint, ServerId const &Server,
                 Company Beside);
  /// Yields what to tell peers at once. A report of BrokenOff among it asks
  /// for the break to be judged.
  std::vector<CrashReport> onEnded(std::uint64_t Fingerprint,
                                   ServerId const &Server,
                                   AttemptEvidence const &Evidence,
                                   TimePoint Now);

  /// The cause of the breaks on the server that were not judged yet. Yields
  /// what to tell peers at once.
  std::vector<CrashReport> onJudged(BackendServer const &Server,
                                    BreakCause Cause, TimePoint Now);
  /// The server's process is gone: the breaks there, and whatever still runs
  /// there, count as crashed, unless it is part of a reclaim.
  std::vector<CrashReport> onCrash(BackendServer const &Server, TimePoint Now);

  /// A server of the data centre is being reclaimed: for some time, crashes
  /// there count for nothing, nor does an earlier crash of the server itself.
  void onReclaim(BackendServer const &Server, TimePoint Now);

  /// Every incident that still counts, for the periodic exchange.
  std::vector<CrashReport> reports(TimePoint Now) const;
  std::vector<CrashReport> reportsOf(std::uint64_t Fingerprint,
                                     TimePoint Now) const;
  void merge(std::vector<CrashReport> const &Reports, TimePoint Now);

  /// Forgets what has expired. To be called every few seconds.
  void expire(TimePoint Now);

private:
  struct Incident {
    ServerId Server_;
    CrashEvidence Evidence_ = CrashEvidence::BrokenOff;
    TimePoint At_{};
    /// Known only where the attempt ran.
    Company Company_ = Company::Shared;
  };
  using Incidents = std::map<std::uint64_t, Incident>;
  struct Attempts {
    std::uint32_t Shared_ = 0;
    std::uint32_t Alone_ = 0;
  };

  static void addReports(std::uint64_t Fingerprint, Incidents const &Known,
                         TimePoint Now, std::vector<CrashReport> &Into);
  bool counts(Incident const &One, TimePoint Now) const;
  bool isRunning(std::uint64_t Fingerprint) const;
  bool isRefused(Incidents const &Known, TimePoint Now) const;
  bool hasCrashedAlone(Incidents const &Known, TimePoint Now) const;
  std::optional<TimePoint> sharedRefusalEnd(Incidents const &Known,
                                            TimePoint Now) const;
  Incidents &incidentsOf(std::uint64_t Fingerprint);
  void rememberAnswer(std::uint64_t Fingerprint, TimePoint Now);
  bool wasAnswered(std::uint64_t Fingerprint, TimePoint Now) const;
  bool awaitsJudgement(Incidents const &Known, TimePoint Now) const;
  std::optional<Company> endAttempt(std::uint64_t Fingerprint,
                                    ServerId const &Server);
  CrashReport addIncident(std::uint64_t Fingerprint, Incident Seen,
                          TimePoint Now);
  std::vector<CrashReport> clear(std::uint64_t Fingerprint, TimePoint Now);
  std::vector<CrashReport> settleBreaks(ServerId const &Server,
                                        CrashEvidence Evidence, TimePoint Now);
  std::vector<CrashReport> crashRunning(ServerId const &Server, TimePoint Now);
  bool isInReclaim(BackendServer const &Server, TimePoint Now) const;

  mutable std::mutex Mutex_;
  CrashPolicy const Policy_;
  std::mt19937_64 Generator_;
  std::map<std::uint64_t, Incidents> Suspicions_; ///< By content.
  std::map<ServerId, std::map<std::uint64_t, Attempts>> Running_;
  std::map<std::uint64_t, TimePoint> Answered_; ///< Last whole answers.
  std::deque<std::pair<TimePoint, std::uint64_t>> AnswersInOrder_;
  std::map<ServerId, TimePoint> Reclaimed_;
  std::map<DataCentre, TimePoint> LastReclaim_;
};

} // namespace laburnum
