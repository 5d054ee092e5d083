#pragma once

#include "CrashDesk.h"
#include "DutyDesk.h"
#include "StatusService.h"
#include "TrafficPlane.h"

#include <LibControl/ConsumptionCollector.h>
#include <LibControl/CountedStore.h>
#include <LibControl/MedianClock.h>
#include <LibControl/PeerNetwork.h>
#include <LibControl/SettingsWatch.h>
#include <LibControl/StoreFollower.h>

#include <asio/signal_set.hpp>

#include <memory>
#include <string>
#include <utility>

namespace laburnum {

/// How the platform's records are spelled.
class RecordCodec {
public:
  virtual ~RecordCodec() = default;
  virtual std::string configurationCollection() const = 0;
  virtual std::string serverCollection() const = 0;
  /// nullptr when the object holds no configuration of this system.
  virtual Result<std::shared_ptr<RouteTable const>>
  decodeConfiguration(StoredObject const &Object) const = 0;
  virtual std::optional<ServerRecord>
  decodeServer(StoredObject const &Object) const = 0;
};

/// What the control thread shares with others, and outlives them.
struct ControlParts {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  EntrySettings const &Settings_;
  AsyncObjectStore &Store_;
  FencedPlatformApi &Duties_;
  RecordCodec const &Codec_;
  UsageCounter &Usage_;
  MedianClock &Clock_;
  TrafficPlane &Traffic_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
  CrashGuard &Guard_;
  SettingsWatch::Read ReadSettings_;
};

/// Keeps what this instance knows up to date, tells the balancer whether it is
/// ready, and leads it through a planned stop. Runs on the control thread.
class ControlPlane {
public:
  ControlPlane(ControlParts Parts, std::uint64_t Seed);
  ~ControlPlane();

  /// Listens for the balancer and the metrics reader, and begins to follow
  /// the store.
  Result<Success> start();

private:
  class ConfigurationReader;
  class ServerReader;

  StoreFollower::Callbacks followerCallbacks();

  void applyConfiguration(StoredObject const &Object);
  bool isReady() const;
  StatusService::Page readiness() const;
  StatusService::Page metrics() const;
  void flushLog();
  void logCalls();
  void onFleet(FleetView const &View);
  void onPeerMessage(InstanceId const &From, PeerMessage const &Message);
  /// Tells the instances of the own data centre that a server leaves, and all
  /// that one is gone.
  void tellOfServer(ServerLeavingNotice const &Notice);
  void onReport(InstanceId const &From, ConsumptionReport const &Report);
  void onSum(ConsumptionSum const &Sum);
  void sendSum();
  void onReadingChanged(relay::ReaderRoleChanged const &Change);
  void reportConsumption();
  void sendReport(ConsumptionReport Report);
  void tickDuties();
  void awaitSignals();
  /// Takes over settings that have changed. Trigger is for the log.
  void reloadSettings(std::string_view Trigger);
  void watchSettings();
  void beginStop();
  void continueStop();
  void endProcess();
  /// Runs Task on the traffic thread.
  template <typename Function> void onTraffic(Function Task);

  ControlParts Parts_;
  CountedStore Store_;
  std::unique_ptr<ConfigurationReader> ConfigurationReader_;
  std::unique_ptr<ServerReader> ServerReader_;
  StatusService ReadinessService_;
  StatusService MetricsService_;
  std::shared_ptr<HttpListener> ReadinessListener_;
  std::shared_ptr<HttpListener> MetricsListener_;
  InstanceId Life_; ///< Names this life of the instance.
  DutyDesk Duties_;
  ConsumptionCollector Collector_;
  CrashDesk Crashes_;
  std::shared_ptr<PeerNetwork> Peers_;
  std::shared_ptr<StoreFollower> Follower_;
  asio::steady_timer DutyTimer_;
  asio::steady_timer ReportTimer_;
  asio::signal_set Signals_;
  asio::steady_timer LogTimer_;
  asio::steady_timer CallsTimer_;
  asio::steady_timer StopTimer_;
  asio::steady_timer SettingsTimer_;
  SettingsWatch Settings_;
  std::uint64_t ConfigurationVersion_ = 0;
  std::pair<std::size_t, std::size_t> LastFleet_; ///< Live, registered.
  bool KnowsServers_ = false;
  bool IsStopping_ = false;
  TimePoint StopBegunAt_{};
};

} // namespace laburnum
