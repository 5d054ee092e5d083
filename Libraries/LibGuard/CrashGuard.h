#pragma once

#include <LibCore/Time.h>
#include <LibGuard/DisconnectClassifier.h>
#include <LibGuard/RecentAnswers.h>
#include <LibGuard/RequestFingerprints.h>
#include <LibModel/AttemptEvidence.h>
#include <LibModel/BackendServer.h>
#include <LibPeer/CrashReports.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace laburnum {

/// How requests with a given content may run.
enum class CrashVerdict {
  Run,
  RunIsolated, ///< Suspect: only on a server without other requests.
  Wait,        ///< Suspect; a copy is running or was just disconnected.
  Refuse,      ///< The policy's condition for refusal is met.
};

/// Where suspect content runs, and when content is refused.
struct CrashPolicy {
  /// Not set: suspects run isolated, and content is refused after a second
  /// server crashed while running nothing else. Set: suspects share servers
  /// with other requests, and content is refused once this many servers crashed
  /// while running it.
  std::optional<std::size_t> MaxSharedCrashes_;
  /// Once this many servers crashed under a part of a prompt, requests with it
  /// run only as trials, if at all.
  std::size_t MaxAmbiguousCrashes_ = 5;

  auto operator<=>(CrashPolicy const &) const = default;
};

/// The decision not to run a request.
struct CrashRefusal {
  std::uint64_t Fingerprint_ = 0; ///< The content or part held responsible.
  TimePoint Until_{};

  auto operator<=>(CrashRefusal const &) const = default;
};

/// Whether other requests may run on the server of an attempt.
enum class Isolation { Shared, Isolated };

/// Prevents requests that crash servers from crashing more of them. Requests
/// are identified by their content, because callers resend them with new keys,
/// and, where servers are shared, by each part of their prompts too, because
/// one part can crash servers in requests of different content. "Content" below
/// means either.
///
/// Content becomes suspect as soon as an attempt loses its connection to a
/// server that is not known to be leaving. The disconnect is then classified
/// (see classifyDisconnect()): a lost link or a reclaim clears the content, a
/// crash leaves it suspect. A complete answer to the content clears it. The
/// policy decides how suspects are handled. If they run isolated, content whose
/// crashes were all on shared servers is never refused, and refused content
/// stays refused. Otherwise, content that had a complete answer moments ago, as
/// popular content always has, does not become suspect.
///
/// A crash takes many requests with it, and each of them names several parts,
/// so suspects are weighed against each other. A suspected part is excused in a
/// request if other suspects, which the request does not hold, were running at
/// each of its crashes: the request may run, and shows which of them it was.
/// After many crashes a single other suspect must have been running at all of
/// them, and such requests run rarely, as trials. The pause between an
/// instance's trials grows with the number of instances, so that the fleet's
/// rate of trials does not.
///
/// Merging reports is commutative and idempotent, and one report of an incident
/// suffices. Thread-safe.
class CrashGuard {
public:
  /// Seed must differ between processes, because incident identifiers are
  /// generated from it.
  explicit CrashGuard(std::uint64_t Seed, CrashPolicy Policy = {})
      : Policy_(Policy), Generator_(Seed) {}

  CrashVerdict verdict(std::uint64_t Fingerprint, TimePoint Now) const;
  /// Returns until when content is refused for crashes of shared servers, or
  /// nothing if it is not refused.
  std::optional<TimePoint> refusedUntil(std::uint64_t Fingerprint,
                                        TimePoint Now) const;
  /// Returns why and until when a request is refused, or nothing if it may run.
  /// A request that waits for a trial is refused until the next one. Only for a
  /// policy with shared servers.
  std::optional<CrashRefusal> refusal(RequestFingerprints const &Request,
                                      TimePoint Now) const;
  /// Returns the servers that disconnected while running the content.
  std::set<ServerId> serversBrokenOffOn(std::uint64_t Fingerprint,
                                        TimePoint Now) const;
  /// Returns whether the loss of Other is evidence that Server was reclaimed.
  /// It is not if Other disconnected long ago, or if the same content was
  /// running on both when they disconnected.
  bool mayConfirmReclaim(ServerId const &Server, ServerId const &Other,
                         TimePoint Now) const;

  void onStarted(std::uint64_t Fingerprint, ServerId const &Server,
                 Isolation Isolation);
  /// Returns reports to send to peers at once. A BrokenOff report requires the
  /// disconnect to be classified.
  std::vector<CrashReport> onEnded(std::uint64_t Fingerprint,
                                   ServerId const &Server,
                                   AttemptEvidence const &Evidence,
                                   TimePoint Now);
  /// The same for the content and for each part of a request.
  void onStarted(RequestFingerprints const &Request, ServerId const &Server,
                 TimePoint Now);
  std::vector<CrashReport> onEnded(RequestFingerprints const &Request,
                                   ServerId const &Server,
                                   AttemptEvidence const &Evidence,
                                   TimePoint Now);

  /// Applies a cause to the server's unclassified disconnects. They go on
  /// counting while it is undecided. Returns reports to send to peers at once.
  std::vector<CrashReport> onDisconnectClassified(BackendServer const &Server,
                                                  DisconnectCause Cause,
                                                  TimePoint Now);
  /// The server's process is gone: its disconnects, and any content still
  /// running there, count as crashed, unless the loss is part of a reclaim.
  std::vector<CrashReport> onCrash(BackendServer const &Server, TimePoint Now);

  /// A server is being reclaimed: for some time, crashes in its data centre are
  /// ignored, as is an earlier crash of the server itself.
  void onReclaim(BackendServer const &Server, TimePoint Now);

  /// Returns all unexpired incidents for the periodic exchange with peers.
  std::vector<CrashReport> reports(TimePoint Now) const;
  std::vector<CrashReport> reportsOf(std::uint64_t Fingerprint,
                                     TimePoint Now) const;
  /// Returns reports to send to peers at once: incidents that a recent complete
  /// answer here has cleared.
  std::vector<CrashReport> merge(std::vector<CrashReport> const &Reports,
                                 TimePoint Now);

  /// Sets how many instances share the rate of trials; at least 1.
  void setInstances(std::size_t Count);

  /// Removes expired incidents. To be called every few seconds.
  void expire(TimePoint Now);

private:
  struct Incident {
    ServerId Server_;
    CrashEvidence Evidence_ = CrashEvidence::BrokenOff;
    TimePoint At_{};
    /// Known only on the instance that ran the attempt.
    Isolation Isolation_ = Isolation::Shared;
  };
  using Incidents = std::map<std::uint64_t, Incident>;
  /// How a request with a suspected part may run.
  enum class PartAdmission { Run, Trial, Refuse };
  struct Attempts {
    std::uint32_t Shared_ = 0;
    std::uint32_t Isolated_ = 0;
  };

  static void addReports(std::uint64_t Fingerprint, Incidents const &Known,
                         TimePoint Now, std::vector<CrashReport> &Into);
  bool counts(Incident const &Record, TimePoint Now) const;
  bool isRunning(std::uint64_t Fingerprint) const;
  bool isRefused(Incidents const &Known, TimePoint Now) const;
  bool hasCrashedIsolated(Incidents const &Known, TimePoint Now) const;
  std::optional<TimePoint> sharedRefusalEnd(Incidents const &Known,
                                            TimePoint Now) const;
  std::optional<TimePoint> sharedRefusalEnd(std::uint64_t Fingerprint,
                                            TimePoint Now) const;
  std::set<ServerId> crashedServers(Incidents const &Known,
                                    TimePoint Now) const;
  PartAdmission admissionOf(std::uint64_t Part,
                            RequestFingerprints const &Request,
                            TimePoint Now) const;
  void noteTrial(RequestFingerprints const &Request, TimePoint Now);
  Incidents &incidentsOf(std::uint64_t Fingerprint);
  bool awaitsClassification(Incidents const &Known, TimePoint Now) const;
  std::optional<Isolation> endAttempt(std::uint64_t Fingerprint,
                                      ServerId const &Server);
  CrashReport addIncident(std::uint64_t Fingerprint, Incident Seen,
                          TimePoint Now);
  std::vector<CrashReport> clear(std::uint64_t Fingerprint, TimePoint Now);
  std::vector<CrashReport> resolveDisconnects(ServerId const &Server,
                                              CrashEvidence Evidence,
                                              TimePoint Now);
  std::vector<CrashReport> markRunningCrashed(ServerId const &Server,
                                              TimePoint Now);
  bool isInReclaim(BackendServer const &Server, TimePoint Now) const;

  mutable std::mutex Mutex_;
  CrashPolicy const Policy_;
  std::mt19937_64 Generator_;
  std::map<std::uint64_t, Incidents> IncidentsByContent_;
  std::map<ServerId, std::map<std::uint64_t, Attempts>> Running_;
  RecentAnswers Answers_;
  std::size_t Instances_ = 1;
  TimePoint NextTrialAt_ = TimePoint::min();
  std::map<ServerId, TimePoint> Reclaimed_;
  std::map<DataCentre, TimePoint> LastReclaim_;
};

} // namespace laburnum
