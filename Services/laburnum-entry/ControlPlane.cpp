#include "ControlPlane.h"

#include "ConfigurationReader.h"
#include "HistoryReader.h"
#include "ServerReader.h"

#include <asio/post.hpp>

#include <csignal>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds LogPeriod{100};
/// How often the counts of store calls are logged.
constexpr std::chrono::seconds CallsPeriod{30};
constexpr std::chrono::milliseconds LeaseHolderTickPeriod{200};
/// How often the settings file is checked: it may change without a signal.
constexpr std::chrono::seconds SettingsPeriod{2};
constexpr std::string_view PeriodicTrigger = "file";
/// From SIGTERM until the load balancer has taken this instance out of
/// rotation: it checks readiness once a second and needs two failures.
/// Connections that arrive meanwhile are served.
constexpr std::chrono::milliseconds BalancerDelay{2600};
constexpr std::chrono::milliseconds StopPollPeriod{50};
/// Reserved at the end of the grace period for the process to exit by itself.
constexpr std::chrono::milliseconds StopReserve{700};

EntryInstance localInstance(EntrySettings const &Settings,
                            InstanceId const &Incarnation) {
  EntryInstance Self;
  Self.Id_ = Incarnation;
  Self.DataCentre_ = Settings.DataCentre_;
  Self.Peers_ = Settings.Peers_;
  return Self;
}

} // namespace

ControlPlane::ControlPlane(ControlDependencies Dependencies, std::uint64_t Seed)
    : Dependencies_(Dependencies), Store_(Dependencies.Store_),
      ConfigurationReader_(std::make_unique<ConfigurationReader>(*this)),
      ServerReader_(std::make_unique<ServerReader>(*this)),
      HistoryReader_(std::make_unique<HistoryReader>(*this)),
      ReadinessService_([this] { return readiness(); }),
      MetricsService_([this] { return metrics(); }),
      ReadinessListener_(
          Dependencies.Context_, Dependencies.Log_,
          {Dependencies.Settings_.Readiness_, "readiness checks"},
          ReadinessService_),
      MetricsListener_(Dependencies.Context_, Dependencies.Log_,
                       {Dependencies.Settings_.Metrics_, "metrics"},
                       MetricsService_),
      PeersPort_(Dependencies.Log_, Dependencies.Settings_.Peers_,
                 "messages of peers"),
      Incarnation_(Dependencies.Settings_.Name_ + "." +
                   IdentifierSource(Seed + 2).next()),
      LeaseHolderTasks_({Dependencies.Settings_, Store_,
                         Dependencies.PlatformApi_, Dependencies.Usage_,
                         Dependencies.Log_, Dependencies.Metrics_,
                         [this](ServiceName const &Service, TimePoint Now) {
                           return EngineWorkTasks_.work(Service, Now);
                         }},
                        Incarnation_, Seed + 3),
      Collector_(localInstance(Dependencies.Settings_, Incarnation_)),
      CrashGuardTasks_({Dependencies.Context_, Store_, Dependencies.Guard_,
                        Dependencies.Clock_, Dependencies.Log_},
                       localInstance(Dependencies.Settings_, Incarnation_)),
      RateLimitTasks_({Dependencies.Context_, Dependencies.TrafficContext_,
                       Dependencies.Traffic_,
                       [this](InstanceId const &Instance, TimePoint Now) {
                         // A collector knows the demand at all instances, the
                         // others do not, and all need the same shares.
                         return Collector_.isDirect()
                                    ? LeaseHolderTasks_.demandAt(Instance, Now)
                                    : 0.0;
                       }},
                      localInstance(Dependencies.Settings_, Incarnation_),
                      Seed + 5),
      StreamOriginTasks_({Dependencies.Context_, Dependencies.TrafficContext_,
                          Store_, Dependencies.Traffic_, Dependencies.Clock_,
                          Dependencies.Codec_, Dependencies.Log_},
                         Dependencies.Settings_.Name_,
                         localInstance(Dependencies.Settings_, Incarnation_)),
      EngineWorkTasks_({Dependencies.Context_, Dependencies.TrafficContext_,
                        Dependencies.Traffic_, Dependencies.Log_},
                       localInstance(Dependencies.Settings_, Incarnation_)),
      RolloutTasks_({Dependencies.Context_, Dependencies.TrafficContext_,
                     Store_, Dependencies.Traffic_, Dependencies.Codec_,
                     Dependencies.Log_, Dependencies.Metrics_},
                    localInstance(Dependencies.Settings_, Incarnation_)),
      Peers_(std::make_shared<PeerNetwork>(
          Dependencies.Context_, Store_, Dependencies.Settings_.Name_,
          localInstance(Dependencies.Settings_, Incarnation_), Seed + 4,
          PeerNetwork::Callbacks{
              [this](FleetView const &View) { onFleet(View); },
              [this](InstanceId const &From, PeerMessage const &Message) {
                onPeerMessage(From, Message);
              },
              [this](Error const &Failure) {
                if (Failure.Kind_ == ErrorKind::Unavailable)
                  return PeersPort_.onFailure(Failure, readBootClock());
                Dependencies_.Log_.write(
                    LogLine("peers_unavailable").add("why", toString(Failure)));
              },
              [this] { PeersPort_.onOpened(readBootClock()); },
              [this](EntryInstance const &Peer) {
                Dependencies_.Log_.write(
                    LogLine("introduced")
                        .add("sender", Peer.Id_.text())
                        .add("address", Peer.Peers_.Host_ + ':' +
                                            std::to_string(Peer.Peers_.Port_)));
              }})),
      Follower_(std::make_shared<StoreFollower>(
          Dependencies.Context_, Store_,
          localInstance(Dependencies.Settings_, Incarnation_), Seed,
          followerCallbacks())),
      LeaseHolderTimer_(Dependencies.Context_),
      ReportTimer_(Dependencies.Context_),
      Signals_(Dependencies.Context_, SIGTERM, SIGINT, SIGHUP),
      LogTimer_(Dependencies.Context_), CallsTimer_(Dependencies.Context_),
      StopTimer_(Dependencies.Context_), SettingsTimer_(Dependencies.Context_),
      Settings_(Dependencies.Settings_, Dependencies.ReadSettings_) {}

ControlPlane::~ControlPlane() = default;

Duration ControlPlane::timeOfDay() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

StoreFollower::Callbacks ControlPlane::followerCallbacks() {
  std::map<std::string, CollectionReader *> Readers = {
      {Dependencies_.Codec_.configurationCollection(),
       ConfigurationReader_.get()},
      {Dependencies_.Codec_.serverCollection(), ServerReader_.get()},
      {detail::HistoryCollection, HistoryReader_.get()}};
  if (Dependencies_.Settings_.FollowsRollouts_)
    Readers[Dependencies_.Codec_.rolloutCollection()] = &RolloutTasks_;
  return {std::move(Readers),
          [this](SendToPeer const &Action) { Peers_->send(Action); },
          [this](relay::ReaderRoleChanged const &Change) {
            onReaderRoleChanged(Change);
          }};
}

void ControlPlane::onReaderRoleChanged(relay::ReaderRoleChanged const &Change) {
  auto const Outcome =
      Change.ReaderRole_ == relay::ReaderRole::Ranked     ? "ranked reader"
      : Change.ReaderRole_ == relay::ReaderRole::Fallback ? "fallback reader"
                                                          : "not a reader";
  Dependencies_.Log_.write(LogLine("store_reading")
                               .add("outcome", Outcome)
                               .add("news_age_ms", Change.UpdateAge_)
                               .add("live", Change.Live_));
  StreamOriginTasks_.setReaderRole(Change.ReaderRole_);
}

Result<Success> ControlPlane::start() {
  auto const Opened = ReadinessListener_.open();
  if (isError(Opened))
    return errorOf(Opened);
  auto const Metrics = MetricsListener_.open();
  if (isError(Metrics))
    Dependencies_.Log_.write(
        LogLine("metrics_unavailable").add("why", errorOf(Metrics).Message_));
  Store_.setRestoreListener([this](StoreEra Era) { onStoreRestored(Era); });
  Follower_->start();
  Dependencies_.Clock_.setLocal(timeOfDay(), readBootClock());
  Peers_->start();
  Dependencies_.Traffic_.setCrashListener([this](auto const &Reports) {
    asio::post(Dependencies_.Context_,
               [this, Reports] { CrashGuardTasks_.onLocalReports(Reports); });
  });
  Dependencies_.Traffic_.setLeavingListener(
      [this](ServerLeavingNotice const &Notice) {
        asio::post(Dependencies_.Context_,
                   [this, Notice] { notifyPeersOfServer(Notice); });
      });
  tickLeaseHolderTasks();
  reportConsumption();
  CrashGuardTasks_.start(Peers_);
  RateLimitTasks_.start(Peers_);
  StreamOriginTasks_.start(Peers_);
  EngineWorkTasks_.start(Peers_);
  RolloutTasks_.start(Peers_);
  awaitSignals();
  watchSettings();
  flushLog();
  logCalls();
  return Success{};
}

void ControlPlane::onStoreRestored(StoreEra Era) {
  Dependencies_.Metrics_.StoreRestorations_.add();
  Dependencies_.Log_.write(LogLine("store_restored")
                               .add("era", Era)
                               .add("config", ConfigurationVersion_));
  LeaseHolderTasks_.onStoreRestored();
  CrashGuardTasks_.onStoreRestored();
  StreamOriginTasks_.onStoreRestored();
  Peers_->onStoreRestored(Follower_->readerRole() == relay::ReaderRole::Ranked
                              ? PeerNetwork::SecretKeeper::Yes
                              : PeerNetwork::SecretKeeper::No);
}

void ControlPlane::applyConfiguration(StoredObject const &Object) {
  auto const Decoded = Dependencies_.Codec_.decodeConfiguration(Object);
  if (isError(Decoded)) {
    Dependencies_.Log_.write(LogLine("configuration_unreadable")
                                 .add("revision", Object.Version_)
                                 .add("why", errorOf(Decoded).Message_));
    return;
  }
  auto const &Table = valueOf(Decoded);
  if (!Table)
    return;
  // Lists and watches may return an older state than one already applied.
  if (Table->version() <= ConfigurationVersion_)
    return;
  Dependencies_.Log_.write(LogLine("configuration_applied")
                               .add("version", Table->version())
                               .add("from", ConfigurationVersion_)
                               .add("revision", Object.Version_)
                               .add("routes", Table->routes().size())
                               .add("accounts", Table->accounts().size()));
  ConfigurationVersion_ = Table->version();
  Dependencies_.Metrics_.ConfigurationsApplied_.add();
  LeaseHolderTasks_.setTable(Table);
  StreamOriginTasks_.setTable(Table);
  EngineWorkTasks_.setTable(*Table);
  onTraffic(
      [&Traffic = Dependencies_.Traffic_, Table] { Traffic.setTable(Table); });
}

std::optional<std::string_view> ControlPlane::unreadyReason() const {
  if (IsStopping_)
    return "stopping";
  if (ConfigurationVersion_ == 0)
    return "no configuration yet";
  if (!HasServerList_)
    return "no list of servers yet";
  if (!Dependencies_.Traffic_.isListening())
    return "a port for requests is still held";
  return std::nullopt;
}

StatusService::Page ControlPlane::readiness() const {
  if (auto const Reason = unreadyReason())
    return {503, "not ready: " + std::string(*Reason) + '\n'};
  return {200, "ready\n"};
}

void ControlPlane::logReadiness() {
  auto const Reason = unreadyReason();
  if (Reason == LastUnreadyReason_)
    return;
  LastUnreadyReason_ = Reason;
  Dependencies_.Log_.write(LogLine("readiness")
                               .add("ready", Reason ? "no" : "yes")
                               .add("why", Reason.value_or("complete")));
}

StatusService::Page ControlPlane::metrics() const {
  auto Text = Dependencies_.Metrics_.text() +
              "laburnum_configuration_version " +
              std::to_string(ConfigurationVersion_) +
              "\nlaburnum_log_lines_dropped_total " +
              std::to_string(Dependencies_.Log_.dropped()) + '\n';
  for (auto const &[Call, Count] : Store_.calls())
    Text += "laburnum_store_calls_total{call=\"" + Call + "\"} " +
            std::to_string(Count) + '\n';
  return {200, std::move(Text)};
}

void ControlPlane::logCalls() {
  CallsTimer_.expires_after(CallsPeriod);
  CallsTimer_.async_wait([this](asio::error_code Failure) {
    if (Failure)
      return;
    LogLine Line("store_calls");
    for (auto const &[Call, Count] : Store_.calls())
      Line.add(Call, Count);
    Dependencies_.Log_.write(Line);
    logCalls();
  });
}

void ControlPlane::flushLog() {
  logReadiness();
  Dependencies_.Log_.flush();
  LogTimer_.expires_after(LogPeriod);
  LogTimer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      flushLog();
  });
}

void ControlPlane::onFleet(FleetView const &View) {
  std::size_t Live = 0;
  for (auto const &Member : View.Members_)
    if (Member.Liveness_ == Liveness::Live)
      ++Live;
  if (std::pair(Live, View.Registered_) != LastFleet_)
    Dependencies_.Log_.write(LogLine("fleet_changed")
                                 .add("live", Live)
                                 .add("registered", View.Registered_));
  LastFleet_ = {Live, View.Registered_};
  LeaseHolderTasks_.setMembers(View.Members_, readBootClock());
  Follower_->setMembers(View.Members_);
  CrashGuardTasks_.setMembers(View.Members_);
  StreamOriginTasks_.setMembers(View.Members_);
  setPeerRoutes(View);
  RateLimitTasks_.setFleet(View,
                           IsStopping_ ? Liveness::Leaving : Liveness::Live);
  Collector_.setMembers(View.Members_, readBootClock());
  EngineWorkTasks_.setMembers(View.Members_, Collector_.collectors());
  RolloutTasks_.setMembers(View.Members_, Collector_.collectors());
  if (Collector_.isDirect())
    LeaseHolderTasks_.setConnectivity(Live >= View.Registered_ && Live > 1
                                          ? PeerConnectivity::Full
                                          : PeerConnectivity::Partial);
  onTraffic([&Traffic = Dependencies_.Traffic_, Registered = View.Registered_] {
    Traffic.setRegistered(Registered);
  });
}

void ControlPlane::setPeerRoutes(FleetView const &View) {
  std::vector<PeerRoute> Peers;
  for (auto const &Member : View.Members_) {
    auto const &Instance = Member.Instance_;
    if (Member.Liveness_ == Liveness::Live && Instance.Id_ != Incarnation_)
      Peers.push_back({Instance.Id_, Instance.DataCentre_,
                       TrafficPlane::peerServiceEndpoint(Instance.Peers_)});
  }
  onTraffic([&Traffic = Dependencies_.Traffic_, Peers = std::move(Peers)] {
    Traffic.setPeerRoutes(Peers);
  });
}

void ControlPlane::tickLeaseHolderTasks() {
  auto const Now = readBootClock();
  Dependencies_.Clock_.setLocal(timeOfDay(), Now);
  LeaseHolderTasks_.tick(Now, Dependencies_.Clock_.read(Now),
                         Collector_.isComplete(Now)
                             ? PeerCoverage::AllInstances
                             : PeerCoverage::SomeInstances);
  if (RolloutTasks_.hasOrders())
    RolloutTasks_.setServers(LeaseHolderTasks_.servers());
  RolloutTasks_.tick(LeaseHolderTasks_.fenceNumber(Now),
                     Dependencies_.Clock_.read(Now), Now);
  Collector_.setRole(LeaseHolderTasks_.holdsLease(Now)
                         ? CollectorRole::HoldsLease
                         : CollectorRole::None,
                     Now);
  LeaseHolderTimer_.expires_after(LeaseHolderTickPeriod);
  LeaseHolderTimer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      tickLeaseHolderTasks();
  });
}

void ControlPlane::awaitSignals() {
  Signals_.async_wait([this](asio::error_code Failure, int Signal) {
    if (Failure)
      return;
    if (Signal == SIGHUP)
      reloadSettings("signal");
    else
      beginStop();
    awaitSignals();
  });
}

void ControlPlane::reloadSettings(std::string_view Trigger) {
  auto const Polled = Settings_.poll();
  LogLine Line("reload");
  Line.add("trigger", Trigger);
  if (auto const *const Changed = std::get_if<settings::Changed>(&Polled)) {
    onTraffic(
        [&Traffic = Dependencies_.Traffic_, InForce = Changed->Settings_] {
          Traffic.applySettings(InForce);
        });
    bool const IsComplete = Changed->Scope_ == settings::ChangeScope::All;
    Line.add("outcome",
             IsComplete
                 ? "in force"
                 : "partly in force, the rest takes effect at the next start");
  } else if (auto const *const Failed =
                 std::get_if<settings::Unreadable>(&Polled)) {
    Line.add("outcome", "unreadable, the previous settings stay in force")
        .add("why", Failed->Reason_.Message_);
  } else if (Trigger == PeriodicTrigger) {
    return;
  } else {
    Line.add("outcome", "unchanged");
  }
  Dependencies_.Log_.write(Line);
}

void ControlPlane::watchSettings() {
  SettingsTimer_.expires_after(SettingsPeriod);
  SettingsTimer_.async_wait([this](asio::error_code Failure) {
    if (Failure)
      return;
    reloadSettings(PeriodicTrigger);
    watchSettings();
  });
}

void ControlPlane::beginStop() {
  if (IsStopping_)
    return;
  IsStopping_ = true;
  StopBegunAt_ = readBootClock();
  Dependencies_.Log_.write(
      LogLine("stop").add("time_ms", Settings_.inForce().StopGracePeriod_));
  Peers_->leave();
  RateLimitTasks_.setFleet(Peers_->view(), Liveness::Leaving);
  StopTimer_.expires_after(BalancerDelay);
  StopTimer_.async_wait([this](asio::error_code Failure) {
    if (Failure)
      return;
    onTraffic([&Traffic = Dependencies_.Traffic_] { Traffic.drain(); });
    continueStop();
  });
}

void ControlPlane::continueStop() {
  onTraffic([this] {
    auto const Busy = Dependencies_.Traffic_.busyConnections();
    asio::post(Dependencies_.Context_, [this, Busy] {
      auto const Elapsed = readBootClock() - StopBegunAt_;
      if (Busy == 0 ||
          Elapsed > Settings_.inForce().StopGracePeriod_ - StopReserve)
        return LeaseHolderTasks_.publishUsage([this] { endProcess(); });
      StopTimer_.expires_after(StopPollPeriod);
      StopTimer_.async_wait([this](asio::error_code Failure) {
        if (!Failure)
          continueStop();
      });
    });
  });
}

void ControlPlane::endProcess() {
  Dependencies_.Log_.write(
      LogLine("stopped").add("after_ms", readBootClock() - StopBegunAt_));
  Dependencies_.Log_.flush();
  Follower_->stop();
  Dependencies_.TrafficContext_.stop();
  Dependencies_.Context_.stop();
}

} // namespace laburnum
