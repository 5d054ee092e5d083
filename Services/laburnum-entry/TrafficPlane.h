#pragma once

#include "EntryMetrics.h"

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
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/WindowedRetryBudget.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace laburnum {

class RequestSession;

/// What the traffic thread shares with others, and outlives them.
struct TrafficParts {
  asio::io_context &Context_;
  EntrySettings const &Settings_;
  TrafficCodec const &Dialect_;
  UsageCounter &Usage_;
  MedianClock const &Clock_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
  CrashGuard &Guard_;
};

/// Takes clients' requests to backend servers. Everything here runs on the
/// traffic thread.
class TrafficPlane : public HttpService {
public:
  TrafficPlane(TrafficParts Parts, std::uint64_t Seed);
  ~TrafficPlane() override;

  Result<Success> listen();

  /// Is told, on the traffic thread, of a life of a server that leaves or is
  /// gone.
  using LeavingListener = std::function<void(ServerLeavingNotice const &)>;
  void setLeavingListener(LeavingListener Listener) {
    LeavingListener_ = std::move(Listener);
  }
  /// What a peer has seen.
  void onPeerNotice(ServerLeavingNotice const &Notice);

  using CrashListener = std::function<void(std::vector<CrashReport> const &)>;
  /// Who tells peers what the guard reports. Set before traffic comes; called
  /// on the traffic thread.
  void setCrashListener(CrashListener Listener) {
    CrashListener_ = std::move(Listener);
  }

  void setTable(std::shared_ptr<RouteTable const> Table);
  /// What of the settings can change while the program runs.
  void setBounds(EntrySettings const &Settings);
  void replaceServers(std::vector<ServerRecord> const &Records);
  void updateServer(ServerRecord const &Record);
  void removeServer(ServerId const &Id);
  /// The list of servers was confirmed by the store just now.
  void onServersCurrent(Version StoreVersion);
  /// How many entry instances share what is limited.
  void setRegistered(std::size_t Instances);
  ConsumptionReport reportConsumption();
  void onConsumption(InstanceId const &From, ConsumptionReport const &Report);
  void onConsumptionSum(ConsumptionSum const &Sum);
  void setReportPeriod(Duration Period) { Meter_.setPeriod(Period); }

  /// A planned stop: takes no new connections and ends each one that is open
  /// after its answer.
  void drain();
  std::size_t busyConnections() const;

  ClientBounds bounds() const override;
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;
  void onRejected(MessageFault Fault) override;

private:
  friend class RequestSession;

  /// Why content is refused, for the log.
  static constexpr std::string_view CrashesServers =
      "servers crashed under requests of this content";

  /// Nothing when the request was answered already.
  std::shared_ptr<RequestSession>
  admit(std::shared_ptr<Exchange> const &Exchange, ReceivedRequest &Request);
  /// Nothing when the account's quota allows the request.
  std::optional<Duration> overQuota(RoutedAccount const &Account,
                                    RequestMetadata const &Facts);
  void refuse(Exchange &Exchange, std::int32_t Status, std::string_view Reason,
              RequestMetadata const &Facts, std::optional<Duration> RetryAfter);
  void refuseOverQuota(Exchange &Exchange, AccountName const &Account,
                       RequestMetadata const &Facts, Duration RetryAfter);
  /// An attempt ended; Server is where. Finds out whether the server crashed.
  void onAttemptEnded(std::uint64_t Fingerprint, ServerRecord const &Server,
                      AttemptEvidence const &Evidence);
  void onServerLeaving(ServerRecord const &Server);
  /// Another server has the address.
  void onServerReplaced(ServerRecord const &Server);
  /// Nothing listens at the address.
  void onServerGone(ServerRecord const &Server, std::string_view Source);
  void tellOfServer(ServerId const &Life, Liveness State,
                    std::string_view Source);
  void onServerPause(ServerRecord const &Server, BackoffRequest const &Pause);
  void judge(ServerRecord const &Server);
  void onDisconnectClassified(ServerRecord const &Server, ProbeAnswer Answer);
  void report(std::vector<CrashReport> const &Reports);
  /// When a content that crashes servers may come back; nothing when it may
  /// run.
  std::optional<Duration> returnAfterCrashes(std::uint64_t Fingerprint) const;
  void refuseContent(Exchange &Exchange,
                     exchange::FlowContext const &FlowContext,
                     Duration RetryAfter);
  void enqueue(std::shared_ptr<RequestSession> const &Session,
               WaitingRequest Request);
  void dequeue(std::uint64_t Ticket);
  void settle(std::vector<AdmissionOutcome> const &Outcomes);
  void advanceQueue();
  void armQueueTimer();
  OutboundPool &poolOf(ServerRecord const &Server);

  TrafficParts Parts_;
  std::shared_ptr<HttpListener> Listener_;
  /// Adds what is known of the servers, and how old that is.
  void addServerFacts(LogLine &Line) const;

  std::shared_ptr<RouteTable const> Table_;
  Version ServersVersion_ = 0;
  TimePoint ServersCurrentAt_{};
  ServerRoster Roster_;
  AdmissionQueue Queue_;
  WindowedRetryBudget Retries_;
  AccountQuotaLimiter Meter_;
  asio::steady_timer QueueTimer_;
  bool IsQueueTimerArmed_ = false;
  std::uint64_t NextTicket_ = 1;
  std::map<ServiceName, std::uint64_t> Begun_; ///< Requests by service.
  std::map<std::uint64_t, std::shared_ptr<RequestSession>> Waiting_;
  std::map<ServerId, std::shared_ptr<OutboundPool>> Pools_;
  CrashListener CrashListener_;
  LeavingListener LeavingListener_;
  std::set<ServerId> Judging_; ///< Lives that are being probed.
};

} // namespace laburnum
