#include "Daemon.h"

#include "ClaimService.h"
#include "ControlPlane.h"
#include "ControllerService.h"
#include "CrashService.h"
#include "DrainGate.h"
#include "MeteredFlows.h"
#include "ObservingBackendClient.h"
#include "OperatorRequestHandler.h"
#include "RequestService.h"
#include "ServingMetrics.h"
#include "StreamService.h"

#include <LibAdmin/OperatorServer.h>
#include <LibBackend/HttpBackendClient.h>
#include <LibBackend/HttpOrderClient.h>
#include <LibFleet/EqualShare.h>
#include <LibFleet/UnusableServers.h>
#include <LibPlatform/HttpCloudApi.h>
#include <LibPlatform/HttpInstanceList.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/MeteredObjectStore.h>
#include <LibPlatform/RetryingObjectStore.h>
#include <LibPlatform/SystemStoreClock.h>
#include <LibServing/LeastLoadedChooser.h>
#include <LibServing/RetryBudget.h>

#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <future>
#include <random>

namespace laburnum {

namespace {

/// Time until the platform's load balancer notices that an instance is not
/// ready; until then it still routes callers here.
constexpr Duration BalancerDelay = std::chrono::seconds(1);

/// Time that operators' calls in progress get to complete at shutdown.
constexpr Duration OperatorGrace = std::chrono::seconds(2);

/// Time reserved for shutdown after draining: flows of closed streams and
/// operators' calls have to end.
constexpr Duration ShutdownReserve = std::chrono::milliseconds(2500);

/// The part of the stop's time limit that is available for draining requests.
Duration drainTime(Duration Within) {
  return std::max(Within - ShutdownReserve, Within / 2);
}

std::uint64_t randomSeed() {
  std::random_device Device;
  constexpr unsigned WordBits = 32;
  return (std::uint64_t(Device()) << WordBits) | Device();
}

CallerServerSettings callerSettings(DaemonSettings const &Settings) {
  CallerServerSettings Converted;
  Converted.Listen_ = Settings.Callers_.Endpoint_;
  Converted.MaxThreads_ = Settings.Callers_.Threads_;
  Converted.MaxBodyBytes_ = Settings.Callers_.MaxBodyBytes_;
  Converted.BodyMemoryBytes_ = Settings.Callers_.BodyMemoryBytes_;
  Converted.AnswerMemoryBytes_ =
      std::max<std::size_t>(Settings.Callers_.AnswerMemoryBytes_,
                            2 * BackendClientSettings().MaxAnswerBytes_);
  Converted.ReadTimeout_ = Settings.Callers_.HeaderTimeout_;
  Converted.Head_ = {Settings.Callers_.MaxHeaderBytes_,
                     Settings.Callers_.HeaderTimeout_};
  return Converted;
}

BackendClientSettings backendSettings(DaemonSettings const &Settings) {
  BackendClientSettings Converted;
  Converted.StallTimeout_ = Settings.Backends_.StallTimeout_;
  Converted.AnswerMemoryBytes_ = Settings.Callers_.AnswerMemoryBytes_;
  Converted.MaxIdlePerEndpoint_ = Settings.Backends_.ConnectionsPerServer_;
  return Converted;
}

ClaimJournalSettings claimSettings(DaemonSettings const &Settings) {
  ClaimJournalSettings Converted;
  Converted.Buckets_ = Settings.Serving_.ClaimBuckets_;
  Converted.MaximumAnswerBytes_ = Settings.Serving_.ClaimAnswerBytes_;
  return Converted;
}

DaemonSettings withInstanceName(DaemonSettings Settings, std::uint64_t Seed) {
  if (Settings.Instance_.Id_.isEmpty())
    Settings.Instance_.Id_ = InstanceId(IdentifierSource(Seed).next());
  return Settings;
}

ObjectStoreLimits storeLimits(DaemonSettings const &Settings) {
  return {static_cast<double>(Settings.Platform_.ReadsPerSecond_),
          static_cast<double>(Settings.Platform_.WritesPerSecond_)};
}

} // namespace

class Daemon::Implementation : public BackendObserver {
public:
  explicit Implementation(DaemonSettings Configured)
      : Seed_(randomSeed()),
        Settings_(withInstanceName(std::move(Configured), Seed_)),
        Platform_(Settings_.Platform_.Endpoint_), RemoteObjects_(Platform_),
        Metered_(RemoteObjects_, Clock_, storeLimits(Settings_)),
        Objects_(Metered_, Clock_, ReadRetryPolicy(), Seed_),
        Instances_(Platform_), Cloud_(Platform_),
        RemoteBackends_(backendSettings(Settings_)),
        Backends_(RemoteBackends_, *this), Chooser_(Seed_),
        ServingMetrics_(Metrics_),
        Crashes_(Control_, View_, Chooser_, Settings_.Instance_.Id_, Metrics_,
                 Seed_),
        Plane_(Control_, {Objects_, Instances_, Cloud_}, View_,
               [this] { publish(); }),
        Claims_(Control_, Objects_, claimSettings(Settings_),
                Settings_.Platform_.Timeout_, Settings_.Platform_.Threads_,
                Seed_),
        Flows_({Crashes_.chooser(), Retries_, Backends_, Claims_, View_},
               ServingMetrics_),
        Streams_(Control_, View_, Flows_, Metrics_, Seed_ + 1),
        Requests_(View_, Limiter_, Gate_, ServingMetrics_, Flows_, Streams_,
                  {Settings_.Callers_.DefaultDeadline_,
                   Settings_.Callers_.MaxDeadline_},
                  Seed_),
        Controller_(Control_, controllerInterfaces(), Metrics_),
        Writer_(Objects_, Settings_.Platform_.Timeout_) {}

  /// Exports the platform calls by kind and those refused by local rate limits.
  void addPlatformMetrics() {
    auto const Add = [this](std::string const &Name,
                            std::uint64_t ObjectStoreCounts::*Kind) {
      Metrics_.addCallbackCounter("platform." + Name, "calls", [this, Kind] {
        return Metered_.counts().*Kind;
      });
    };
    Add("gets", &ObjectStoreCounts::Gets_);
    Add("lists", &ObjectStoreCounts::Lists_);
    Add("puts", &ObjectStoreCounts::Puts_);
    Add("watches", &ObjectStoreCounts::Watches_);
    Add("refused_here", &ObjectStoreCounts::Refused_);
  }

  Result<Success> bind() {
    auto Callers = CallerServer::create(
        callerSettings(Settings_),
        [this](CallerMessage const &Message) {
          return Requests_.answer(Message);
        },
        [this](Error const &Failure) { return Requests_.refuse(Failure); });
    if (isError(Callers))
      return errorOf(Callers);
    Callers_ = takeValue(std::move(Callers));
    OperatorHandler_ = std::make_unique<OperatorRequestHandler>(
        Settings_.Instance_.Id_, Plane_, View_, Writer_, Metrics_,
        [this](Duration Within) { requestStop(Within); });
    auto Operators =
        OperatorServer::create(Settings_.Operators_, *OperatorHandler_);
    if (isError(Operators))
      return errorOf(Operators);
    Operators_ = takeValue(std::move(Operators));
    Controller_.start(
        {Settings_.Instance_.Id_, Seed_, Settings_.Platform_.Timeout_});
    auto const Started = Plane_.start(planeSettings());
    if (isError(Started))
      return errorOf(Started);
    Claims_.start();
    Crashes_.start([this](Endpoint const &To, PeerMessage const &Message) {
      Plane_.sendToPeer(To, Message);
    });
    auto Self = planeSettings().Self_;
    Self.Peers_ = Plane_.peerEndpoint();
    Streams_.start(Self,
                   [this](SendToPeer const &Message) { Plane_.send(Message); });
    return Success{};
  }

  ControllerInterfaces controllerInterfaces() {
    return {Objects_, Cloud_, Orders_,
            [this](ServerId const &Server, Duration Within) {
              Plane_.drainServer(Server, Within);
            }};
  }

  ControlPlaneSettings planeSettings() {
    ControlPlaneSettings Converted;
    Converted.Self_ = {Settings_.Instance_.Id_, Settings_.Instance_.DataCentre_,
                       Callers_->endpoint(), Settings_.Peers_.Endpoint_,
                       Operators_->endpoint()};
    Converted.Seeds_ = Settings_.Peers_.Seeds_;
    Converted.PeerSecret_ = Settings_.Peers_.Secret_;
    Converted.PlatformTimeout_ = Settings_.Platform_.Timeout_;
    Converted.Seed_ = Seed_;
    Converted.Hooks_ = hooks();
    return Converted;
  }

  ControlPlaneHooks hooks() {
    return {[this](auto const &Members) {
              Streams_.membersChanged(Members);
              Controller_.membersChanged(Members);
              Crashes_.membersChanged(Members);
              Limiter_.setDefaultShare(equalShare(Members));
            },
            [this](auto const &From, auto const &Message) {
              Streams_.receive(From, Message);
              Crashes_.receive(From, Message);
            },
            [this](Duration Remaining) { requestStop(Remaining); }};
  }

  void run() {
    Control_.start();
    std::thread Serving([this] { Callers_->run(); });
    LOG(INFO) << "instance=" << Settings_.Instance_.Id_.text()
              << " state=serving callers_port=" << Callers_->endpoint().Port_
              << " operators_port=" << Operators_->endpoint().Port_
              << " peers_port=" << Plane_.peerEndpoint().Port_;
    auto const Within = StopRequested_.get_future().get();
    drain(drainTime(Within));
    Callers_->stop();
    Serving.join();
    bool const AreFlowsEnded = Streams_.stop();
    Operators_->stop(OperatorGrace);
    Plane_.stop();
    Claims_.stop();
    Crashes_.stop();
    Controller_.stop();
    Control_.stop();
    LOG(INFO) << "instance=" << Settings_.Instance_.Id_.text()
              << " state=stopped";
    // A flow that waits for an unresponsive engine still uses members of this
    // object, so they must not be destroyed: exit without destructors.
    if (!AreFlowsEnded) {
      google::FlushLogFiles(google::GLOG_INFO);
      std::_Exit(EXIT_SUCCESS);
    }
  }

  /// Waits until the load balancer routes callers elsewhere, then refuses new
  /// requests and waits for those in progress.
  void drain(Duration Within) {
    auto const Start = readClock();
    Plane_.announceLeaving();
    Streams_.beginHandOver(Within);
    Gate_.setUnready();
    LOG(INFO) << "instance=" << Settings_.Instance_.Id_.text()
              << " state=draining in_progress=" << Gate_.inProgress();
    std::this_thread::sleep_for(std::min(BalancerDelay, Within));
    Gate_.close();
    auto const TimeLeft = [&] { return Within - (readClock() - Start); };
    bool const IsEmpty = Gate_.waitUntilEmpty(TimeLeft());
    if (!Streams_.waitUntilSafe(TimeLeft()) || !IsEmpty)
      LOG(WARNING) << "instance=" << Settings_.Instance_.Id_.text()
                   << " state=drain_overrun in_progress=" << Gate_.inProgress();
  }

  void requestStop(Duration Within) {
    if (!IsStopRequested_.exchange(true))
      StopRequested_.set_value(Within);
  }

  void requestStop() { requestStop(Settings_.Serving_.Drain_); }

  /// Distributes the control thread's new snapshots to the parts that use them.
  void publish() {
    Chooser_.setSnapshot(
        View_.configuration(),
        unusableServers(*View_.departures(), *View_.configuration()));
    Retries_.setSnapshot(View_.configuration());
    Crashes_.onViewChanged();
    Controller_.viewChanged(View_);
  }

  void onLoadReport(ServerId const &Server, LoadReport const &Load) override {
    Chooser_.setLoad(Server, Load);
  }

  void onWorkRefused(ServerId const &Server) override {
    Plane_.reportRefusal(Server);
  }

private:
  std::uint64_t const Seed_;
  DaemonSettings Settings_;
  SystemStoreClock Clock_;
  PlatformConnection Platform_;
  HttpObjectStore RemoteObjects_;
  MeteredObjectStore Metered_;
  RetryingObjectStore Objects_;
  HttpInstanceList Instances_;
  HttpCloudApi Cloud_;
  HttpBackendClient RemoteBackends_;
  ObservingBackendClient Backends_;
  LeastLoadedChooser Chooser_;
  RetryBudget Retries_;
  AccountLimiter Limiter_;
  DrainGate Gate_;
  MetricsRegistry Metrics_;
  ServingMetrics ServingMetrics_;
  TrafficView View_;
  ControlThread Control_;
  CrashService Crashes_;
  ControlPlane Plane_;
  ClaimService Claims_;
  MeteredFlows Flows_;
  StreamService Streams_;
  RequestService Requests_;
  HttpOrderClient Orders_;
  ControllerService Controller_;
  ChangeWriter Writer_;
  std::unique_ptr<OperatorRequestHandler> OperatorHandler_;
  std::unique_ptr<CallerServer> Callers_;
  std::unique_ptr<OperatorServer> Operators_;
  std::atomic<bool> IsStopRequested_ = false;
  std::promise<Duration> StopRequested_;
};

Daemon::Daemon(std::unique_ptr<Implementation> Created)
    : Implementation_(std::move(Created)) {}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::create(DaemonSettings Settings) {
  auto Created = std::make_unique<Implementation>(std::move(Settings));
  auto const Bound = Created->bind();
  if (isError(Bound))
    return errorOf(Bound);
  return std::unique_ptr<Daemon>(new Daemon(std::move(Created)));
}

void Daemon::run() { Implementation_->run(); }

void Daemon::requestStop() { Implementation_->requestStop(); }

} // namespace laburnum
