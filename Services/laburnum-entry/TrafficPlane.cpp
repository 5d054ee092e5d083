#include "TrafficPlane.h"

#include "RequestSession.h"

#include <LibTraffic/ContentFingerprint.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// How often waiting requests are retried for admission, in addition to each
/// time a local attempt ends: requests of other instances free slots too.
constexpr std::chrono::milliseconds QueuePeriod{15};
/// How much longer than its client a stream's server may work. The platform
/// allows half a second, of which the way of the request to the server and a
/// second attempt take a part.
constexpr std::chrono::milliseconds StreamDeadlineMargin{400};
/// Retry-After of requests that arrive before the first configuration.
constexpr std::chrono::milliseconds RetryAfterNotReady{500};

constexpr std::int32_t BadRequest = 400;
constexpr std::int32_t Unauthorized = 401;
constexpr std::int32_t NotFound = 404;
constexpr std::int32_t ServiceUnavailable = 503;

/// Fractions of the allowed rate and burst tolerances that are used. The rest
/// is left for requests that other instances admit at the same moment.
constexpr double UsedRateTolerance = 0.4;
constexpr double UsedBurstTolerance = 0.3;

AccountQuotaLimiter::Settings
quotaLimiterSettings(EntrySettings const &Settings) {
  AccountQuotaLimiter::Settings Limiter;
  Limiter.RateTolerance_ = Settings.QuotaRateTolerance_ * UsedRateTolerance;
  Limiter.BurstTolerance_ = Settings.QuotaBurstTolerance_ * UsedBurstTolerance;
  return Limiter;
}

/// Fraction of the machine's memory that the requests of clients may take.
constexpr std::uint64_t IntakeMemoryDivisor = 4;
/// Descriptors that are left for files, as the platform's pages say.
constexpr std::uint32_t ReservedDescriptors = 200;
/// Fraction of the other descriptors that the connections of one listener may
/// take. The rest is left for servers, the store and peers.
constexpr std::uint32_t IntakeDescriptorDivisor = 2;
constexpr std::chrono::seconds GivenUpLogPeriod{1};

IntakeLimits intakeLimits(EntrySettings const &Settings) {
  IntakeLimits Limits;
  if (Settings.MemoryBytes_ > 0)
    Limits.Bytes_ = Settings.MemoryBytes_ / IntakeMemoryDivisor;
  if (Settings.Descriptors_ > ReservedDescriptors)
    Limits.Connections_ =
        (Settings.Descriptors_ - ReservedDescriptors) / IntakeDescriptorDivisor;
  return Limits;
}

RetryBudgetSettings retryBudgetSettings(EntrySettings const &Settings) {
  return {Settings.RetryRatio_, Settings.RetrySlack_, Settings.RetryWindow_};
}

} // namespace

/// Takes the requests of instances that reach no server.
class TrafficPlane::PeerService : public HttpService {
public:
  explicit PeerService(TrafficPlane &Plane) : Plane_(Plane) {}

  ClientBounds bounds() const override { return Plane_.bounds(); }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    if (auto const Session =
            Plane_.admit(Exchange, Request, exchange::RequestSource::Peer))
      Session->start();
  }
  void onCrossedClose(CrossedClose const &Crossed) override {
    Plane_.onCrossedClose(Crossed);
  }

private:
  TrafficPlane &Plane_;
};

TrafficPlane::TrafficPlane(TrafficDependencies Dependencies, std::uint64_t Seed)
    : Dependencies_(Dependencies), Roster_({Dependencies.Settings_.DataCentre_,
                                            Dependencies.Settings_.Regions_},
                                           Seed),
      RateLimits_(Roster_.rateLimiter(), Dependencies.Log_,
                  Dependencies.Metrics_),
      Queue_(Roster_), Retries_(retryBudgetSettings(Dependencies.Settings_)),
      QuotaLimiter_(quotaLimiterSettings(Dependencies.Settings_)),
      Refuser_(Dependencies.TrafficCodec_, Dependencies.Log_,
               Dependencies.Metrics_),
      PeerService_(std::make_unique<PeerService>(*this)),
      PeerRoutes_(
          {Dependencies.Settings_.DataCentre_, Dependencies.Settings_.Regions_},
          Seed + 1),
      Links_(Dependencies.Context_, Roster_, Dependencies.Log_,
             {[this](ServiceName const &Service) { onLinkCut(Service); },
              [this] { onLinkUp(); }}),
      AnswerLimits_(answerLimits(Dependencies.Settings_)),
      Origins_(Dependencies.Context_, Dependencies.Log_),
      QueueTimer_(Dependencies.Context_),
      Intake_(
          std::make_shared<IntakeBudget>(intakeLimits(Dependencies.Settings_))),
      Listener_(
          Dependencies.Context_, Dependencies.Log_,
          {Dependencies.Settings_.Traffic_, "requests of clients"}, *this,
          [this] { --ClosedPorts_; }, Intake_),
      PeerListener_(
          Dependencies.Context_, Dependencies.Log_,
          {peerServiceEndpoint(Dependencies.Settings_.Peers_),
           "requests of peers"},
          *PeerService_, [this] { --ClosedPorts_; }, Intake_) {}

TrafficPlane::~TrafficPlane() = default;

Result<Success> TrafficPlane::listen() {
  auto Opened = Listener_.open();
  if (!isError(Opened))
    Opened = PeerListener_.open();
  return Opened;
}

void TrafficPlane::setTable(std::shared_ptr<RouteTable const> Table) {
  Table_ = std::move(Table);
  QuotaLimiter_.setTable(Table_, readBootClock());
  std::map<ServiceName, std::uint32_t> Limits;
  std::map<ServiceName, EngineTraits> WorkBound;
  for (auto const &[Name, Service] : Table_->services()) {
    Limits[Name] = Service.ConnectionLimit_;
    if (Service.Engine_ && Service.Engine_->isWorkBound())
      WorkBound[Name] = *Service.Engine_;
  }
  TightestTargets_.clear();
  for (auto const &Route : Table_->routes())
    for (auto const &Choice : Route.Services_) {
      auto const [Tightest, IsFirst] =
          TightestTargets_.try_emplace(Choice.Service_, Route.LatencyTarget_);
      Tightest->second = std::min(Tightest->second, Route.LatencyTarget_);
    }
  Roster_.setConnectionLimits(std::move(Limits));
  Roster_.setWorkBoundEngines(std::move(WorkBound));
}

void TrafficPlane::setRecordedOrigins(RecordedOrigins Recorded) {
  Roster_.setRecorded(Recorded.Versions_);
  Origins_.setRecorded(std::move(Recorded));
  advanceQueue();
}

void TrafficPlane::setRolloutTargets(
    std::map<ServiceName, std::string> const &Targets) {
  VersionShares_.setTargets(Targets);
  VersionTally_.setTargets(Targets);
}

void TrafficPlane::onRolloutShares(RolloutShares const &Shares) {
  VersionShares_.onShares(Shares, readBootClock());
}

void TrafficPlane::applySettings(EntrySettings const &Settings) {
  Retries_.setBounds(retryBudgetSettings(Settings));
  QuotaLimiter_.setTolerances(quotaLimiterSettings(Settings));
}

void TrafficPlane::replaceServers(std::vector<ServerRecord> const &Records) {
  Roster_.replaceAll(Records);
  for (auto const &Record : Records)
    noteLeaving(Record);
  std::erase_if(Pools_, [&](auto const &Entry) {
    return std::none_of(
        Records.begin(), Records.end(),
        [&](ServerRecord const &Record) { return Record.Id_ == Entry.first; });
  });
  advanceQueue();
}

void TrafficPlane::noteLeaving(ServerRecord const &Record) {
  if (Record.Phase_ != ServerPhase::Ready)
    Roster_.onLeaving(incarnationOf(Record), readBootClock());
}

void TrafficPlane::updateServer(ServerRecord const &Record) {
  Roster_.update(Record);
  noteLeaving(Record);
  advanceQueue();
}

void TrafficPlane::removeServer(ServerId const &Id) {
  Roster_.remove(Id);
  if (auto const Found = Pools_.find(Id); Found != Pools_.end()) {
    Found->second.Pool_->closeIdle();
    Pools_.erase(Found);
  }
}

void TrafficPlane::drain() {
  for (auto *const Opener : {&Listener_, &PeerListener_}) {
    Opener->stopAccepting();
    if (auto *const Listener = Opener->listener())
      Listener->drainConnections();
  }
}

std::size_t TrafficPlane::busyConnections() const {
  std::size_t Busy = 0;
  for (auto const *const Opener : {&Listener_, &PeerListener_})
    if (auto const *const Listener = Opener->listener())
      Busy += Listener->busyConnections();
  return Busy;
}

ClientBounds TrafficPlane::bounds() const {
  return Table_ ? Table_->bounds() : ClientBounds{};
}

void TrafficPlane::onRejected(MessageFault Fault) {
  Dependencies_.Metrics_.Rejected_.add();
  Dependencies_.Log_.write(
      LogLine("request_rejected").add("fault", static_cast<int>(Fault)));
}

void TrafficPlane::onGivenUp() {
  Dependencies_.Metrics_.GivenUp_.add();
  ++GivenUp_;
  auto const Now = readBootClock();
  if (GivenUpLoggedAt_ != TimePoint::min() &&
      GivenUpLoggedAt_ + GivenUpLogPeriod > Now)
    return;
  GivenUpLoggedAt_ = Now;
  // Peers' requests may be given up while the port for clients' is still held.
  auto const *const Listener = Listener_.listener();
  Dependencies_.Log_.write(
      LogLine("intake_limited")
          .add("given_up", std::exchange(GivenUp_, 0))
          .add("held_bytes", Intake_->heldBytes())
          .add("max_bytes", Intake_->limits().Bytes_)
          .add("connections", Listener ? Listener->openConnections() : 0)
          .add("max_connections", Intake_->limits().Connections_));
}

void TrafficPlane::onCrossedClose(CrossedClose const &Crossed) {
  Dependencies_.Metrics_.CrossedCloses_.add();
  Dependencies_.Log_.write(LogLine("request_crossed_close")
                               .add("close", Crossed.Why_ == IdleClose::Drain
                                                 ? "drain"
                                                 : "idle timeout")
                               .add("idle_ms", Crossed.Idle_)
                               .add("since_close_ms", Crossed.Since_));
}

void TrafficPlane::onPeerRateLimits(ServerRateLimits const &Received) {
  RateLimits_.onPeer(Received, readBootClock());
  advanceQueue();
}

void TrafficPlane::setRateLimitFleet(RateLimitFleet const &Fleet) {
  Roster_.rateLimiter().setFleet(Fleet, readBootClock());
}

std::vector<ServerRateLimit> TrafficPlane::rateLimits() {
  return Roster_.rateLimiter().limits(readBootClock());
}

void TrafficPlane::onServersCurrent(Version StoreVersion) {
  ServersVersion_ = StoreVersion;
  ServersCurrentAt_ = readBootClock();
}

void TrafficPlane::addServerListState(LogLine &Line) const {
  Line.add("servers_version", ServersVersion_)
      .add("servers_age_ms", readBootClock() - ServersCurrentAt_);
}

void TrafficPlane::addRateLimitState(LogLine &Line,
                                     ServiceName const &Service) const {
  auto const Summary = Roster_.rateLimitSummary(Service, readBootClock());
  if (Summary.Limited_ > 0)
    Line.add("limited_servers", Summary.Limited_)
        .add("local_per_second", Summary.LocalRate_)
        .add("local_tokens", Summary.Tokens_);
}

void TrafficPlane::onRequest(std::shared_ptr<Exchange> Exchange,
                             ReceivedRequest Request) {
  if (auto const Session =
          admit(Exchange, Request, exchange::RequestSource::Client))
    Session->start();
}

std::shared_ptr<RequestSession>
TrafficPlane::admit(std::shared_ptr<Exchange> const &Exchange,
                    ReceivedRequest &Request, exchange::RequestSource Source) {
  auto const &Codec = Dependencies_.TrafficCodec_;
  auto const Decoded = Source == exchange::RequestSource::Peer
                           ? Codec.decodeFromPeer(Request.Head_)
                           : Codec.decode(Request.Head_);
  if (!Table_) {
    Refuser_.refuse(*Exchange, ServiceUnavailable, "no configuration yet",
                    isError(Decoded) ? RequestMetadata{} : valueOf(Decoded), 0,
                    RetryAfterNotReady);
    return nullptr;
  }
  if (isError(Decoded)) {
    Refuser_.refuse(*Exchange, BadRequest, errorOf(Decoded).Message_, {},
                    Table_->version(), std::nullopt);
    return nullptr;
  }
  auto const &Metadata = valueOf(Decoded);
  auto const *const Route = Table_->match(Request.Head_.Fields_.valueOr("Host"),
                                          Request.Head_.Target_);
  if (!Route) {
    Refuser_.refuse(*Exchange, NotFound, "no route", Metadata,
                    Table_->version(), std::nullopt);
    return nullptr;
  }
  exchange::FlowContext FlowContext{Table_, Route, {}, {}, Metadata, {}, {}};
  RoutedAccount const *Account = nullptr;
  if (Table_->hasAccounts() && Route->Access_ == RouteAccess::KeyRequired) {
    Account = Table_->accountByKey(Metadata.Key_);
    if (!Account) {
      Refuser_.refuse(*Exchange, Unauthorized, "unknown key", Metadata,
                      Table_->version(), std::nullopt);
      return nullptr;
    }
    FlowContext.Account_ = Account->Name_;
  }
  FlowContext.Fingerprints_ =
      requestFingerprints(FlowContext.Account_, Request, Metadata);
  auto const Now = readBootClock();
  if (auto const Refusal =
          Dependencies_.Guard_.refusal(FlowContext.Fingerprints_, Now)) {
    Refuser_.refuseCrashing(*Exchange, FlowContext, *Refusal, Now);
    return nullptr;
  }
  FlowContext.Source_ = Source;
  FlowContext.Target_ = {std::string(Request.Head_.Fields_.valueOr("Host")),
                         Request.Head_.Target_};
  // The instance that a peer's request came to has charged the account.
  bool const IsCharged = Account && Source == exchange::RequestSource::Client;
  if (auto const RetryAfter =
          IsCharged ? quotaRetryAfter(*Account, Metadata) : std::nullopt) {
    Refuser_.refuseOverQuota(*Exchange, FlowContext, QuotaLimiter_,
                             *RetryAfter);
    return nullptr;
  }
  // A stream that is taken up leads to the service that began it.
  FlowContext.Service_ = serviceFor(*Route, Metadata.FirstAttemptId_.empty()
                                                ? Metadata.AttemptId_
                                                : Metadata.FirstAttemptId_);
  auto const Allowed = std::min(
      Route->Timeout_, Metadata.TimeAllowed_.value_or(Route->Timeout_));
  FlowContext.Expiry_ = Request.BegunAt_ + Allowed;
  if (Route->Form_ == AnswerForm::EventStream)
    FlowContext.ServerDeadlineMargin_ = StreamDeadlineMargin;
  Retries_.countRequest(FlowContext.Service_, readBootClock());
  ++RequestsByService_[FlowContext.Service_];
  if (auto const Work = workOf(Metadata);
      Work && Roster_.isWorkBound(FlowContext.Service_))
    WorkMeter_.onRequest(FlowContext.Service_, *Work,
                         Route->LatencyTarget_ <=
                                 TightestTargets_[FlowContext.Service_]
                             ? ServiceWorkMeter::Urgency::Urgent
                             : ServiceWorkMeter::Urgency::Other);
  return std::make_shared<RequestSession>(*this, Exchange, std::move(Request),
                                          std::move(FlowContext));
}

void TrafficPlane::enqueue(std::shared_ptr<RequestSession> const &Session,
                           WaitingRequest Request) {
  auto const Ticket = Request.Ticket_;
  Waiting_[Ticket] = Session;
  deliverOutcomes(Queue_.add(std::move(Request), readBootClock()));
  armQueueTimer();
}

void TrafficPlane::dequeue(std::uint64_t Ticket) {
  Queue_.remove(Ticket);
  Waiting_.erase(Ticket);
}

void TrafficPlane::deliverOutcomes(
    std::vector<AdmissionOutcome> const &Outcomes) {
  for (auto const &Outcome : Outcomes) {
    auto const Ticket =
        std::visit([](auto const &Kind) { return Kind.Ticket_; }, Outcome);
    auto const Found = Waiting_.find(Ticket);
    if (Found == Waiting_.end())
      continue;
    auto const Session = Found->second;
    Waiting_.erase(Found);
    Session->onAdmission(Outcome);
  }
}

void TrafficPlane::advanceQueue() {
  if (Queue_.size() > 0)
    deliverOutcomes(Queue_.advance(readBootClock()));
}

void TrafficPlane::armQueueTimer() {
  if (IsQueueTimerArmed_ || Queue_.size() == 0)
    return;
  IsQueueTimerArmed_ = true;
  QueueTimer_.expires_after(QueuePeriod);
  QueueTimer_.async_wait([this](asio::error_code Failure) {
    IsQueueTimerArmed_ = false;
    if (Failure)
      return;
    advanceQueue();
    armQueueTimer();
  });
}

void TrafficPlane::limitUnwritten() {
  auto const MaxBytes = AnswerLimits_.UnwrittenBytes_;
  for (auto const *const Opener : {&Listener_, &PeerListener_}) {
    auto *const Listener = Opener->listener();
    if (!Listener)
      continue;
    if (auto const Aborted = Listener->limitUnwritten(MaxBytes); Aborted > 0)
      Dependencies_.Log_.write(LogLine("slow_clients_aborted")
                                   .add("connections", Aborted)
                                   .add("max_bytes", MaxBytes));
  }
}

OutboundPool &TrafficPlane::poolOf(ServerRecord const &Server) {
  auto &Current = Pools_[Server.Id_];
  auto Incarnation = incarnationOf(Server);
  if (!Current.Pool_ || Current.Incarnation_ != Incarnation ||
      Current.Pool_->address() != Server.Endpoint_) {
    if (Current.Pool_)
      Current.Pool_->closeIdle();
    Current = {std::move(Incarnation),
               std::make_shared<OutboundPool>(
                   Dependencies_.Context_, Server.Endpoint_,
                   &Dependencies_.TrafficCodec_.serverIdentifier())};
  }
  return *Current.Pool_;
}

} // namespace laburnum
