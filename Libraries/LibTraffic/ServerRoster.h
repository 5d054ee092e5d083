#pragma once

#include <LibModel/AttemptEvidence.h>
#include <LibTraffic/EngineBacklog.h>
#include <LibTraffic/RequestWork.h>
#include <LibTraffic/Route.h>
#include <LibTraffic/ServerRateLimiter.h>
#include <LibTraffic/ServerRecord.h>
#include <LibTraffic/StreamOrigins.h>
#include <LibTraffic/WorkPlacement.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// The local data centre and the region of each data centre.
struct Geography {
  DataCentre Local_;
  std::map<DataCentre, std::string> Regions_;

  auto operator<=>(Geography const &) const = default;
};

/// Which servers' software versions a request may use.
enum class VersionRequirement {
  None,
  Recorded, ///< The store's history holds it, so that a stream may begin at it.
};

/// Criteria for choosing a server.
struct ServerQuery {
  ServiceName Service_;
  std::set<ServerId> Excluded_; ///< Incarnations.
  /// Requests with the same affinity key prefer the same server. Empty: no
  /// preference.
  std::string Affinity_;
  /// Only servers of this software version are chosen. Nothing: any.
  std::optional<std::string> SoftwareVersion_ = std::nullopt;
  VersionRequirement VersionRequirement_ = VersionRequirement::None;
  /// What the request asks of a model engine.
  std::optional<RequestWork> Work_ = std::nullopt;
  /// No server of this software version is chosen while the service has others.
  std::string AvoidedVersion_ = {};

  auto operator<=>(ServerQuery const &) const = default;
};

/// The result of an attempt as evidence of the server's health.
enum class AttemptHealth {
  Worked,
  Refused, ///< The server was full.
  Failed,  ///< The server was unreachable or its answer was invalid.
  Unknown, ///< The attempt was cancelled before it gave any evidence.
};

/// Why no server of a service can take another request in time.
enum class ExhaustionCause {
  Backoff,   ///< Every server requested a backoff.
  RateLimit, ///< Every server has reached its rate limit or requested a
             ///< backoff.
};

struct ServiceExhaustion {
  ExhaustionCause Cause_ = ExhaustionCause::Backoff;
  Duration RetryAfter_{};

  auto operator<=>(ServiceExhaustion const &) const = default;
};

/// The rate limits of a service's servers, for logging.
struct RateLimitSummary {
  std::uint32_t Limited_ = 0; ///< Servers with a limit.
  double LocalRate_ = 0.0;    ///< This instance's part, requests a second.
  double Tokens_ = 0.0;       ///< Requests that this instance may send now.

  auto operator<=>(RateLimitSummary const &) const = default;
};

/// Tracks the backend servers of all services, from the platform's list and
/// from local observations, and chooses the best one for a request. An
/// incarnation of a server gets no new requests after the first sign that it is
/// leaving, whatever the list says later, nor during a backoff that it
/// requested, nor beyond this instance's part of its rate limit.
class ServerRoster {
public:
  ServerRoster(Geography Geography, std::uint64_t Seed);

  /// Replaces the complete list; servers that are not in it are removed.
  void replaceAll(std::vector<ServerRecord> const &Records);
  void update(ServerRecord const &Record);
  void remove(ServerId const &Id);

  /// Sets how many connections a server of each service accepts from all
  /// instances together, and how many registered instances share them.
  void setConnectionLimits(std::map<ServiceName, std::uint32_t> Limits);
  void setRegistered(std::size_t Instances) { Registered_ = Instances; }

  /// Sets the services with the software versions that the store's history
  /// holds.
  void setRecorded(std::set<StreamOrigin> Versions) {
    Recorded_ = std::move(Versions);
  }

  /// Sets the services whose requests are placed by their work.
  void setWorkBoundEngines(std::map<ServiceName, EngineTraits> Engines) {
    Engines_ = std::move(Engines);
  }
  bool isWorkBound(ServiceName const &Service) const {
    return Engines_.contains(Service);
  }
  /// Sets how many tokens a server of the service reads in a second.
  void setReadingSpeed(ServiceName const &Service, double TokensPerSecond) {
    ReadingSpeeds_[Service] = TokensPerSecond;
  }
  EngineBacklog &backlog() { return Backlog_; }

  /// Returns nothing when no server has free capacity.
  std::optional<ServerRecord> choose(ServerQuery const &Query, TimePoint Now);
  /// Returns whether a server matches the query that has free capacity.
  bool hasUsable(ServerQuery const &Query, TimePoint Now) const {
    return !usable(Query, Now).empty();
  }
  /// Returns whether any server of the service accepts requests, even if full.
  bool isServed(ServiceName const &Service, TimePoint Now) const;
  /// Returns whether a server matches the query that is not leaving, even if it
  /// takes no requests now.
  bool hasMatch(ServerQuery const &Query) const;

  /// Counts an attempt that is being sent to the server. What attempts show of
  /// an incarnation is ignored while it is not listed, but attempts in progress
  /// still count if it is listed again.
  void onSent(ServerRecord const &To, TimePoint Now);
  void onEnded(ServerRecord const &At, AttemptHealth Health, TimePoint Now);
  void onLoad(ServerRecord const &Of, ServerLoad const &Load, TimePoint Now);
  /// The server has stated how many refusals a second it stands, from all
  /// instances together, or no longer states it.
  void onMaxRefusals(ServerRecord const &Of, std::optional<double> PerSecond);
  /// An attempt has waited long for the server's first byte, until
  /// onFirstByteWaitEnded().
  void onSlowFirstByte(ServerRecord const &Of);
  void onFirstByteWaitEnded(ServerRecord const &Of);
  /// The server or a peer reported that this incarnation is leaving, or another
  /// server has its address. Returns whether that was unknown before.
  bool onLeaving(ServerId const &Incarnation, TimePoint Now);
  /// Nothing listens at the incarnation's address, as found here or by a peer.
  /// The incarnation is excluded while the service has other servers, for
  /// longer with each report. Returns whether it was not excluded already.
  bool onUnreachable(ServerId const &Incarnation, TimePoint Now);
  /// The server requested that this instance send it nothing for a while.
  void onBackoffRequested(ServerId const &Incarnation, Duration For,
                          TimePoint Now);
  /// Returns why a request that waits until GiveUpAt, behind Ahead others of
  /// its service, is not going to be served, and after which time to retry,
  /// with jitter to spread the retries. Returns nothing if the request may
  /// wait.
  std::optional<ServiceExhaustion> exhaustion(ServiceName const &Service,
                                              std::size_t Ahead,
                                              TimePoint GiveUpAt,
                                              TimePoint Now);
  ServerRateLimiter &rateLimiter() { return RateLimiter_; }
  RateLimitSummary rateLimitSummary(ServiceName const &Service,
                                    TimePoint Now) const;

  /// Returns whether the incarnation is draining, has reported that it is
  /// leaving, or is not listed.
  bool isLeaving(ServerRecord const &Server) const;

  /// Returns whether a later process is listed under the server's identifier or
  /// at its address.
  bool isReplaced(ServerRecord const &Server) const;

  std::vector<ServerRecord> records() const;
  /// Returns the servers of the service that are not leaving, shuffled.
  std::vector<ServerRecord> staying(ServiceName const &Service);
  std::uint32_t running(ServerId const &Id) const;
  /// Returns the attempts of this instance that are in progress, by service.
  std::map<ServiceName, std::uint32_t> runningByService() const;

private:
  /// How long a reported load is valid: by then other instances' requests have
  /// been replaced by new ones.
  static constexpr std::chrono::milliseconds LoadValidity{400};

  static double slotsOf(ServerRecord const &Record);

  /// What is known of an incarnation beyond the platform's list.
  struct IncarnationStatus {
    bool IsLeaving_ = false;
    TimePoint BackoffUntil_ = TimePoint::min();
    TimePoint UnreachableUntil_ = TimePoint::min();
    std::uint32_t UnreachableReports_ = 0;
    TimePoint RetainUntil_{};
  };

  /// Attempts of this instance at an incarnation.
  struct Attempts {
    std::uint32_t Running_ = 0; ///< In progress.
    std::uint32_t Slow_ = 0;    ///< That wait long already.

    auto operator<=>(Attempts const &) const = default;
  };

  /// Identifies an incarnation. The version and the address tell those apart
  /// whose start is not known.
  struct AttemptKey {
    ServerId Incarnation_;
    std::string SoftwareVersion_;
    Endpoint Endpoint_;

    auto operator<=>(AttemptKey const &) const = default;
  };

  struct Entry {
    ServerRecord Record_;
    ServerId Incarnation_;
    IncarnationStatus Status_;
    Attempts Attempts_;
    double RemoteRunning_ = 0.0; ///< Of other instances, as last reported.
    TimePoint LoadReportedAt_ = TimePoint::min();
    double Slowdown_ = 1.0;      ///< As last reported.
    std::uint32_t Failures_ = 0; ///< In a row.
    std::optional<double> MaxRefusalsPerSecond_;
    TimePoint EjectedUntil_ = TimePoint::min();
  };

  /// Returns the entry of the server, or nullptr if this incarnation of it is
  /// not listed.
  Entry *find(ServerRecord const &Server);
  static AttemptKey attemptKey(ServerRecord const &Server);
  /// Changes the attempts of an incarnation, whether or not it is listed.
  template <typename Function>
  void updateAttempts(ServerRecord const &Server, Function Change);
  /// Retains the attempts of an incarnation that is not listed any more.
  void retainAttempts(Entry const &Server);
  bool isStaying(Entry const &Server) const;
  bool matches(Entry const &Server, ServerQuery const &Query) const;
  /// Whether the service has a server that stays, of another version.
  bool hasOtherVersion(ServiceName const &Service,
                       std::string const &Version) const;
  /// Returns the tokens of a rate limited server that can be used until then.
  double usableTokens(Entry const &Server, TimePoint Until) const;
  /// Changes the status of an incarnation, whether or not it is listed.
  template <typename Function>
  void updateStatus(ServerId const &Incarnation, TimePoint Now,
                    Function Change);
  bool takesRequests(Entry const &Server, TimePoint Now) const;
  /// Returns how many connections this instance may open to a server.
  double connectionShare(ServiceName const &Service) const;
  /// Returns how many attempts this instance may have in progress at a server
  /// that must not have to refuse any.
  double slotShare(Entry const &Server, TimePoint Now) const;
  /// Returns how long a server that refused an attempt is not used.
  Duration refusalEjection(Entry const &Server) const;
  double sharers() const;
  double load(Entry const &Server, TimePoint Now) const;
  /// The load, increased for slow and failing servers.
  double adjustedLoad(Entry const &Server, TimePoint Now) const;
  bool isInLocalRegion(DataCentre const &Centre) const;
  double distanceCost(DataCentre const &Centre) const;
  double cost(Entry const &Server, TimePoint Now) const;
  std::vector<Entry const *> usable(ServerQuery const &Query,
                                    TimePoint Now) const;
  Entry const *byAffinity(std::vector<Entry const *> const &Usable,
                          std::string const &Affinity, TimePoint Now) const;
  Entry const *byWork(std::vector<Entry const *> Usable,
                      ServerQuery const &Query, TimePoint Now);
  PlacementCandidate candidateOf(Entry const &Server, TimePoint Now) const;

  Geography Geography_;
  std::mt19937_64 Generator_;
  std::map<ServiceName, std::uint32_t> ConnectionLimits_;
  std::size_t Registered_ = 0; ///< 0 until it is known.
  ServerRateLimiter RateLimiter_;
  std::set<StreamOrigin> Recorded_;
  std::map<ServiceName, EngineTraits> Engines_;
  std::map<ServiceName, double> ReadingSpeeds_;
  EngineBacklog Backlog_;
  std::map<ServerId, Entry> Servers_;
  /// Of incarnations that are not listed while attempts are in progress.
  std::map<AttemptKey, Attempts> UnlistedAttempts_;
  /// By incarnation, because a server may vanish from the list and return.
  std::map<ServerId, IncarnationStatus> Statuses_;
};

} // namespace laburnum
