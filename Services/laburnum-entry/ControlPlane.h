#pragma once

#include "CrashGuardTasks.h"
#include "EngineWorkTasks.h"
#include "LeaseHolderTasks.h"
#include "RateLimitTasks.h"
#include "RecordCodec.h"
#include "RolloutTasks.h"
#include "StatusService.h"
#include "StreamOriginTasks.h"
#include "TrafficPlane.h"

#include <LibControl/ConsumptionCollector.h>
#include <LibControl/CountedStore.h>
#include <LibControl/MedianClock.h>
#include <LibControl/PeerNetwork.h>
#include <LibControl/SettingsWatch.h>
#include <LibControl/StoreFollower.h>

#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnum {

/// References to shared objects, all of which outlive the control thread.
struct ControlDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  EntrySettings const &Settings_;
  AsyncObjectStore &Store_;
  FencedPlatformApi &PlatformApi_;
  RecordCodec const &Codec_;
  UsageCounter &Usage_;
  MedianClock &Clock_;
  TrafficPlane &Traffic_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
  CrashGuard &Guard_;
  SettingsWatch::Read ReadSettings_;
};

/// Keeps configuration, server list and peer state up to date, answers the load
/// balancer's readiness checks, and performs the graceful shutdown. Runs on the
/// control thread.
class ControlPlane {
public:
  ControlPlane(ControlDependencies Dependencies, std::uint64_t Seed);
  ~ControlPlane();

  /// Listens for readiness checks and metrics requests and starts following the
  /// store. Ports that are held are opened once they are free. Fails where
  /// waiting for the readiness address does not help.
  Result<Success> start();

private:
  class ConfigurationReader;
  class ServerReader;
  class HistoryReader;

  StoreFollower::Callbacks followerCallbacks();

  /// The store came back from an older copy.
  void onStoreRestored(StoreEra Era);
  void applyConfiguration(StoredObject const &Object);
  /// Returns why this instance is not ready; nothing if it is.
  std::optional<std::string_view> unreadyReason() const;
  /// Logs each change between ready and the reasons against it.
  void logReadiness();
  StatusService::Page readiness() const;
  StatusService::Page metrics() const;
  void flushLog();
  void logCalls();
  void onFleet(FleetView const &View);
  void setPeerRoutes(FleetView const &View);
  void onPeerMessage(InstanceId const &From, PeerMessage const &Message);
  void onStoreUpdate(StoreUpdate const &Update);
  void onSnapshotRequest(SnapshotRequest const &Request);
  /// Notifies the instances of the local data centre that a server is leaving,
  /// or all instances that one is gone.
  void notifyPeersOfServer(ServerLeavingNotice const &Notice);
  void onReport(InstanceId const &From, ConsumptionReport const &Report);
  void onSum(ConsumptionSum const &Sum);
  void sendSum();
  void onReaderRoleChanged(relay::ReaderRoleChanged const &Change);
  void reportConsumption();
  void sendReport(ConsumptionReport Report);
  void tickLeaseHolderTasks();
  void awaitSignals();
  /// Applies changed settings. Trigger is written to the log.
  void reloadSettings(std::string_view Trigger);
  void watchSettings();
  void beginStop();
  void continueStop();
  void endProcess();
  /// Runs Task on the traffic thread.
  template <typename Function> void onTraffic(Function Task) {
    asio::post(Dependencies_.TrafficContext_, std::move(Task));
  }
  static Duration timeOfDay();

  ControlDependencies Dependencies_;
  CountedStore Store_;
  std::unique_ptr<ConfigurationReader> ConfigurationReader_;
  std::unique_ptr<ServerReader> ServerReader_;
  std::unique_ptr<HistoryReader> HistoryReader_;
  StatusService ReadinessService_;
  StatusService MetricsService_;
  ListenerOpener ReadinessListener_;
  ListenerOpener MetricsListener_;
  HeldPortLog PeersPort_;
  InstanceId Incarnation_; ///< Identifies this incarnation of the instance.
  LeaseHolderTasks LeaseHolderTasks_;
  ConsumptionCollector Collector_;
  CrashGuardTasks CrashGuardTasks_;
  RateLimitTasks RateLimitTasks_;
  StreamOriginTasks StreamOriginTasks_;
  EngineWorkTasks EngineWorkTasks_;
  RolloutTasks RolloutTasks_;
  std::shared_ptr<PeerNetwork> Peers_;
  std::shared_ptr<StoreFollower> Follower_;
  asio::steady_timer LeaseHolderTimer_;
  asio::steady_timer ReportTimer_;
  asio::signal_set Signals_;
  asio::steady_timer LogTimer_;
  asio::steady_timer CallsTimer_;
  asio::steady_timer StopTimer_;
  asio::steady_timer SettingsTimer_;
  SettingsWatch Settings_;
  std::uint64_t ConfigurationVersion_ = 0;
  /// Numbers of live and of registered instances, as last logged.
  std::pair<std::size_t, std::size_t> LastFleet_;
  bool HasServerList_ = false;
  std::optional<std::string_view> LastUnreadyReason_ = ""; ///< As logged.
  bool IsStopping_ = false;
  TimePoint StopBegunAt_{};
};

} // namespace laburnum
