#pragma once

#include "AnswerLimits.h"
#include "EntryMetrics.h"
#include "ListenerOpener.h"
#include "RateLimitObserver.h"
#include "RequestRefuser.h"
#include "ServerLinks.h"
#include "StreamOriginDirectory.h"

#include <LibControl/MedianClock.h>
#include <LibControl/UsageCounter.h>
#include <LibGuard/ConnectProbe.h>
#include <LibGuard/CrashGuard.h>
#include <LibHttp/HttpListener.h>
#include <LibHttp/OutboundPool.h>
#include <LibLog/EventLog.h>
#include <LibModel/ConfigurationObject.h>
#include <LibPeer/PeerMessage.h>
#include <LibSettings/EntrySettings.h>
#include <LibTraffic/AccountQuotaLimiter.h>
#include <LibTraffic/AdmissionQueue.h>
#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/ObservedConventions.h>
#include <LibTraffic/PeerRoutes.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServiceWorkMeter.h>
#include <LibTraffic/VersionShares.h>
#include <LibTraffic/VersionTally.h>
#include <LibTraffic/WindowedRetryBudget.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace laburnum {

class RequestSession;

/// References to shared objects, all of which outlive the traffic thread.
struct TrafficDependencies {
  asio::io_context &Context_;
  EntrySettings const &Settings_;
  TrafficCodec const &TrafficCodec_;
  UsageCounter &Usage_;
  MedianClock const &Clock_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
  CrashGuard &Guard_;
};

/// Accepts client requests, admits or rejects them, and forwards them to
/// backend servers. Everything here runs on the traffic thread.
class TrafficPlane : public HttpService {
public:
  TrafficPlane(TrafficDependencies Dependencies, std::uint64_t Seed);
  ~TrafficPlane() override;

  /// Opens the ports for requests of clients and of peers, or tries until they
  /// are free. Fails where waiting does not help.
  Result<Success> listen();
  /// Whether all ports for requests are open. Thread-safe.
  bool isListening() const { return ClosedPorts_ == 0; }

  /// Called on the traffic thread when an incarnation of a server is leaving or
  /// gone.
  using LeavingListener = std::function<void(ServerLeavingNotice const &)>;
  void setLeavingListener(LeavingListener Listener) {
    LeavingListener_ = std::move(Listener);
  }
  /// Takes in a peer's notice that a server is leaving or gone.
  void onPeerNotice(ServerLeavingNotice const &Notice);

  using CrashListener = std::function<void(std::vector<CrashReport> const &)>;
  /// Sets the listener that sends the guard's reports to the peers. Must be set
  /// before traffic arrives; called on the traffic thread.
  void setCrashListener(CrashListener Listener) {
    CrashListener_ = std::move(Listener);
  }

  /// Where an instance takes requests from others: the port above the one for
  /// messages.
  static Endpoint peerServiceEndpoint(Endpoint Peers) {
    ++Peers.Port_;
    return Peers;
  }
  /// Sets the instances that take requests for servers that are out of reach.
  void setPeerRoutes(std::vector<PeerRoute> Peers) {
    PeerRoutes_.setPeers(std::move(Peers));
  }

  StreamOriginDirectory &streamOrigins() { return Origins_; }

  /// Sets the software versions that are being rolled out.
  void setRolloutTargets(std::map<ServiceName, std::string> const &Targets);
  void onRolloutShares(RolloutShares const &Shares);
  /// What this instance has seen of the versions in roll-outs.
  VersionReport reportVersions() const { return VersionTally_.report(); }

  /// Sets where streams may begin.
  void setRecordedOrigins(RecordedOrigins Recorded);

  /// Sets the listener that sends changed rate limits of servers to the peers.
  void setRateLimitListener(RateLimitObserver::Listener Listener) {
    RateLimits_.setListener(std::move(Listener));
  }
  void onPeerRateLimits(ServerRateLimits const &Received);
  void setRateLimitFleet(RateLimitFleet const &Fleet);
  std::vector<ServerRateLimit> rateLimits();

  void setTable(std::shared_ptr<RouteTable const> Table);
  /// Applies the settings that can change at run time.
  void applySettings(EntrySettings const &Settings);
  void replaceServers(std::vector<ServerRecord> const &Records);
  void updateServer(ServerRecord const &Record);
  void removeServer(ServerId const &Id);
  /// The server list has just been confirmed as current by the store.
  void onServersCurrent(Version StoreVersion);
  /// Sets how many registered entry instances share quotas and retry budgets.
  void setRegistered(std::size_t Instances);
  ConsumptionReport reportConsumption();
  void onConsumption(InstanceId const &From, ConsumptionReport const &Report);
  void onConsumptionSum(ConsumptionSum const &Sum);
  /// Sets how the instances report their consumption, and how often.
  void setReporting(AccountQuotaLimiter::Source Source, Duration Period);
  /// Returns the work that this instance has placed at model servers, which it
  /// reports once in each period.
  EngineWorkReport reportEngineWork(Duration Period);
  /// Takes in the work of all instances.
  void onEngineWork(EngineWorkSum const &Sum);

  /// Starts a graceful shutdown: accepts no new connections and closes each
  /// open one after its answer.
  void drain();
  std::size_t busyConnections() const;

  ClientBounds bounds() const override;
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;
  void onRejected(MessageFault Fault) override;
  void onGivenUp() override;
  void onCrossedClose(CrossedClose const &Crossed) override;

private:
  friend class RequestSession;
  class PeerService;

  /// Returns nullptr when the request was rejected, which has been answered.
  std::shared_ptr<RequestSession>
  admit(std::shared_ptr<Exchange> const &Exchange, ReceivedRequest &Request,
        exchange::RequestSource Source);
  /// A server has answered an attempt of this instance.
  void onServerContact(ServiceName const &Service);
  /// This instance reaches no server of the service any more.
  void onLinkCut(ServiceName const &Service);
  /// Tells the peers of the servers that were found gone, once another server
  /// has answered: without one, this instance may itself be cut off.
  void flushGoneNotices();
  /// Returns how long to wait before retrying, or nothing when the account's
  /// quota admits the request.
  std::optional<Duration> quotaRetryAfter(RoutedAccount const &Account,
                                          RequestMetadata const &Metadata);
  /// The connections to one incarnation of a server.
  struct ServerPool {
    ServerId Incarnation_;
    std::shared_ptr<OutboundPool> Pool_;
  };

  /// Called when an attempt at Server ended. Reports it to the crash guard and
  /// probes the server if its connection broke off.
  void onAttemptEnded(RequestFingerprints const &Fingerprints,
                      ServerRecord const &Server,
                      AttemptEvidence const &Evidence);
  /// An incarnation that was listed as leaving stays so, whatever an older copy
  /// of the list says later.
  void noteLeaving(ServerRecord const &Record);
  void onServerLeaving(ServerRecord const &Server);
  /// Another server now listens at the address.
  void onServerReplaced(ServerRecord const &Server, std::string_view Source);
  /// Nothing listens at the address.
  void onServerGone(ServerRecord const &Server, std::string_view Source);
  void notifyPeersOfServer(ServerId const &Incarnation, Liveness State,
                           std::string_view Source);
  void onServerBackoff(ServerRecord const &Server,
                       BackoffRequest const &Backoff);
  void onMaxRefusals(ServerRecord const &Server,
                     std::optional<double> PerSecond);
  void startDisconnectProbe(ServerRecord const &Server);
  void probeAfter(Duration Delay, ServerRecord const &Server);
  void onDisconnectProbed(ServerRecord const &Server, ProbeAnswer Answer);
  /// A service's link that was cut is up again.
  void onLinkUp();
  void report(std::vector<CrashReport> const &Reports);
  void enqueue(std::shared_ptr<RequestSession> const &Session,
               WaitingRequest Request);
  void dequeue(std::uint64_t Ticket);
  void deliverOutcomes(std::vector<AdmissionOutcome> const &Outcomes);
  void advanceQueue();
  void armQueueTimer();
  /// Aborts connections until their unwritten bytes are within the limit.
  void limitUnwritten();
  OutboundPool &poolOf(ServerRecord const &Server);
  /// Another incarnation than the listed one answers at a server's address.
  void onOtherIncarnation(ServerRecord const &Server,
                          std::string const &Process);

  TrafficDependencies Dependencies_;
  /// Adds the version and the age of the server list.
  void addServerListState(LogLine &Line) const;
  /// Adds what is known of the rate limits of the service's servers, if any.
  void addRateLimitState(LogLine &Line, ServiceName const &Service) const;

  std::shared_ptr<RouteTable const> Table_;
  Version ServersVersion_ = 0;
  TimePoint ServersCurrentAt_{};
  ServerRoster Roster_;
  RateLimitObserver RateLimits_; ///< Refers to Roster_.
  AdmissionQueue Queue_;
  WindowedRetryBudget Retries_;
  AccountQuotaLimiter QuotaLimiter_;
  ServiceWorkMeter WorkMeter_;
  /// The lowest latency target among the routes of each service.
  std::map<ServiceName, Duration> TightestTargets_;
  RequestRefuser Refuser_;
  std::unique_ptr<PeerService> PeerService_;
  PeerRoutes PeerRoutes_;
  ServerLinks Links_; ///< Refers to Roster_.
  /// Servers found gone since the last contact with a server.
  std::vector<std::pair<ServerId, std::string>> GoneNotices_;
  std::set<RequestSession *> AttemptingSessions_;
  AnswerLimits const AnswerLimits_;
  std::size_t BufferedBytes_ = 0; ///< Of all unfinished answers.
  StreamOriginDirectory Origins_;
  ObservedConventions Conventions_;
  VersionShares VersionShares_;
  VersionTally VersionTally_;
  asio::steady_timer QueueTimer_;
  bool IsQueueTimerArmed_ = false;
  std::uint64_t NextTicket_ = 1;
  std::map<ServiceName, std::uint64_t> RequestsByService_;
  std::map<std::uint64_t, std::shared_ptr<RequestSession>> Waiting_;
  std::map<ServerId, ServerPool> Pools_;
  CrashListener CrashListener_;
  LeavingListener LeavingListener_;
  std::shared_ptr<IntakeBudget> Intake_; ///< Of all listeners.
  std::atomic<int> ClosedPorts_ = 2;
  ListenerOpener Listener_;
  ListenerOpener PeerListener_;
  std::uint64_t GivenUp_ = 0; ///< Requests that are not logged yet.
  TimePoint GivenUpLoggedAt_ = TimePoint::min();
  std::set<ServerId> BrittleServers_; ///< Incarnations, for logging.
  /// Incarnations whose disconnects are not classified yet.
  std::set<ServerId> ProbedServers_;
  /// Those of them that were probed while the link to their service was cut.
  std::vector<ServerRecord> UndecidedServers_;
};

} // namespace laburnum
