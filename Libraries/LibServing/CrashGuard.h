#pragma once

#include <LibBackend/AttemptEvidence.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace laburnum {

/// What requests of one content may do.
enum class CrashVerdict {
  Run,
  RunAlone, ///< Suspect: only on a server with no other work.
  Wait,     ///< Suspect, and a copy of it runs or has just broken off.
  Refuse,   ///< Two servers crashed under it.
};

/// That a server crashed while requests of this content ran on it. Instances
/// tell it to each other.
struct CrashReport {
  std::uint64_t Fingerprint_ = 0;
  ServerId Server_;
  Duration Age_{}; ///< Since the crash, when the report was made.

  auto operator<=>(CrashReport const &) const = default;
};

/// Keeps requests that crash servers from crashing more of them. Requests are
/// known by their content, since a caller sends the same one under a new key.
/// Every content that ran on a server when it crashed is a suspect; one that
/// then completes is cleared. Safe to call from several threads.
///
/// A content that always crashes its server takes two servers for each instance
/// that is cut off from its peers, plus those on which it already ran, or was
/// tried again, before the first crash was seen.
/// FIXME: Retries may outrun the sight of the first crash. A broken connection
/// is no suspicion of its own, since a reclaim without notice breaks many.
/// FIXME: Harmless content that ran beside it on both servers is refused with
/// it, until the reports expire.
class CrashGuard {
public:
  CrashVerdict verdict(std::uint64_t Fingerprint, TimePoint Now) const;

  void onStarted(std::uint64_t Fingerprint, ServerId const &Server);
  void onEnded(std::uint64_t Fingerprint, ServerId const &Server,
               AttemptEvidence const &Evidence, TimePoint Now);

  /// The server crashed, which is not said of one that left the list of
  /// instances. Attempts whose connection it broke shortly before are
  /// counted as running on it. Yields what to tell peers; nothing when it is
  /// part of a reclaim.
  std::vector<CrashReport> onCrash(BackendServer const &Server, TimePoint Now);

  /// A server of the data centre is being reclaimed: for some time, crashes
  /// there count for nothing, nor does an earlier crash of the server itself.
  void onReclaim(BackendServer const &Server, TimePoint Now);

  /// Every crash that still counts, for peers that just started.
  std::vector<CrashReport> reports(TimePoint Now) const;
  void merge(std::vector<CrashReport> const &Reports, TimePoint Now);

  /// Forgets what has expired. To be called every few seconds.
  void expire(TimePoint Now);

private:
  struct Suspicion {
    std::map<ServerId, TimePoint> Crashes_; ///< The last one on each server.
    TimePoint ClearedAt_ = TimePoint::min();
  };
  /// An attempt that ended with a broken connection.
  struct BrokenAttempt {
    std::uint64_t Fingerprint_ = 0;
    TimePoint At_{};
  };

  std::size_t countingCrashes(std::uint64_t Fingerprint, TimePoint Now) const;
  bool isUnderTrial(std::uint64_t Fingerprint, TimePoint Now) const;
  void addCrash(std::uint64_t Fingerprint, ServerId const &Server,
                TimePoint At);
  std::set<std::uint64_t> takeVictims(ServerId const &Server, TimePoint Now);
  bool isInReclaim(BackendServer const &Server, TimePoint Now) const;

  mutable std::mutex Mutex_;
  std::map<std::uint64_t, Suspicion> Suspicions_;
  std::map<ServerId, std::multiset<std::uint64_t>> Running_;
  std::map<ServerId, std::vector<BrokenAttempt>> Broken_;
  std::map<DataCentre, TimePoint> LastReclaim_;
};

} // namespace laburnum
