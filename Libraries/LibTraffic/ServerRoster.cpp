#include <LibTraffic/ServerRoster.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace laburnum {

namespace {

/// How long a server is ejected after a failure; doubles with each consecutive
/// failure.
constexpr std::chrono::milliseconds InitialEjection{250};
constexpr std::uint32_t MaxEjectionDoublings = 4;
constexpr std::chrono::milliseconds RefusalEjection{50};
/// Weight, in attempts, of an attempt that waits long for its first byte, so
/// that an unresponsive server is avoided before its connections fail. If all
/// servers are slow, all are weighted alike.
constexpr double SlowAttemptWeight = 6.0;
/// Cost of distance in the comparison of loads, as a fraction of all slots.
/// Traffic between regions costs ten times that between data centres.
constexpr double OtherDataCentreCost = 0.03;
constexpr double OtherRegionCost = 0.3;

/// How long the status of an incarnation is retained: it has ended by then.
constexpr std::chrono::minutes StatusRetention{10};
/// How long an unreachable incarnation is excluded: the list drops a crashed
/// server after about four seconds. Doubles with each further report.
constexpr std::chrono::seconds InitialUnreachableTime{5};
constexpr std::uint32_t MaxUnreachableDoublings = 4;
/// Maximum jitter added to the time to wait after a backoff, as a fraction of
/// that time.
constexpr double RetryAfterJitter = 0.5;
/// Fraction of a server's connections that is used. The rest is left for probes
/// and for instances that have just started.
constexpr double UsedConnectionFraction = 0.9;
/// Assumed number of instances before it is known.
constexpr double InstancesBeforeMembership = 10.0;
/// Bounds of the time to wait for a rate limited server, before jitter.
constexpr std::chrono::milliseconds MinRetryAfterRateLimit{200};
constexpr std::chrono::seconds MaxRetryAfterRateLimit{5};

/// Fraction of the refusals that a brittle server stands which the instances
/// together may cause.
constexpr double UsedRefusalFraction = 0.5;
/// While fresh reports show a brittle server filled to less than this fraction,
/// an instance may use more than its share, up to this multiple: instances get
/// unequal numbers of requests.
constexpr double RoomFraction = 0.7;
constexpr double MaxShareMultiple = 2.0;

std::string regionOf(Geography const &Geography, DataCentre const &Centre) {
  auto const Found = Geography.Regions_.find(Centre);
  return Found == Geography.Regions_.end() ? std::string() : Found->second;
}

/// Returns whether two records of a server are of the same incarnation.
bool isSameIncarnation(ServerRecord const &One, ServerRecord const &Other) {
  return One.IncarnationStartMilliseconds_ ==
             Other.IncarnationStartMilliseconds_ &&
         One.SoftwareVersion_ == Other.SoftwareVersion_ &&
         One.Endpoint_ == Other.Endpoint_;
}

} // namespace

double ServerRoster::slotsOf(ServerRecord const &Record) {
  return std::max(1.0, static_cast<double>(Record.Slots_));
}

ServerRoster::ServerRoster(Geography Geography, std::uint64_t Seed)
    : Geography_(std::move(Geography)), Generator_(Seed),
      RateLimiter_(Generator_()) {}

void ServerRoster::replaceAll(std::vector<ServerRecord> const &Records) {
  std::set<ServerId> Present;
  for (auto const &Record : Records) {
    Present.insert(Record.Id_);
    update(Record);
  }
  std::erase_if(Servers_, [&](auto const &Pair) {
    if (Present.contains(Pair.first))
      return false;
    retainAttempts(Pair.second);
    return true;
  });
}

void ServerRoster::update(ServerRecord const &Record) {
  auto const [Found, IsNew] = Servers_.try_emplace(Record.Id_);
  auto &Server = Found->second;
  if (IsNew || !isSameIncarnation(Server.Record_, Record)) {
    retainAttempts(Server);
    Server = Entry{};
    Server.Incarnation_ = incarnationOf(Record);
    if (auto const Retained = UnlistedAttempts_.extract(attemptKey(Record)))
      Server.Attempts_ = Retained.mapped();
    if (auto const Known = Statuses_.find(Server.Incarnation_);
        Known != Statuses_.end())
      Server.Status_ = Known->second;
  }
  Server.Record_ = Record;
}

void ServerRoster::setConnectionLimits(
    std::map<ServiceName, std::uint32_t> Limits) {
  ConnectionLimits_ = std::move(Limits);
}

void ServerRoster::remove(ServerId const &Id) {
  if (auto const Removed = Servers_.extract(Id))
    retainAttempts(Removed.mapped());
}

ServerRoster::AttemptKey ServerRoster::attemptKey(ServerRecord const &Server) {
  return {incarnationOf(Server), Server.SoftwareVersion_, Server.Endpoint_};
}

void ServerRoster::retainAttempts(Entry const &Server) {
  if (Server.Attempts_ != Attempts())
    UnlistedAttempts_[attemptKey(Server.Record_)] = Server.Attempts_;
}

template <typename Function>
void ServerRoster::updateAttempts(ServerRecord const &Server, Function Change) {
  if (auto *const Listed = find(Server))
    return Change(Listed->Attempts_);
  auto const Key = attemptKey(Server);
  auto &Unlisted = UnlistedAttempts_[Key];
  Change(Unlisted);
  if (Unlisted == Attempts())
    UnlistedAttempts_.erase(Key);
}

bool ServerRoster::isStaying(Entry const &Server) const {
  return Server.Record_.Phase_ == ServerPhase::Ready &&
         !Server.Status_.IsLeaving_;
}

bool ServerRoster::takesRequests(Entry const &Server, TimePoint Now) const {
  return isStaying(Server) && Server.Status_.BackoffUntil_ <= Now &&
         Server.EjectedUntil_ <= Now &&
         RateLimiter_.maySend(Server.Incarnation_, Now);
}

double ServerRoster::connectionShare(ServiceName const &Service) const {
  auto const Found = ConnectionLimits_.find(Service);
  if (Found == ConnectionLimits_.end() || Found->second == 0)
    return std::numeric_limits<double>::infinity();
  return std::max(
      1.0, std::floor(UsedConnectionFraction * Found->second / sharers()));
}

double ServerRoster::sharers() const {
  return Registered_ == 0 ? InstancesBeforeMembership
                          : static_cast<double>(Registered_);
}

double ServerRoster::slotShare(Entry const &Server, TimePoint Now) const {
  if (!Server.MaxRefusalsPerSecond_)
    return std::numeric_limits<double>::infinity();
  auto const Slots = slotsOf(Server.Record_);
  bool const HasRoom = Server.LoadReportedAt_ + LoadValidity > Now &&
                       load(Server, Now) < RoomFraction * Slots;
  return std::max(
      1.0, std::floor((HasRoom ? MaxShareMultiple : 1.0) * Slots / sharers()));
}

Duration ServerRoster::refusalEjection(Entry const &Server) const {
  if (!Server.MaxRefusalsPerSecond_)
    return RefusalEjection;
  std::chrono::duration<double> const BetweenRefusals(
      sharers() /
      (UsedRefusalFraction * std::max(*Server.MaxRefusalsPerSecond_, 1.0)));
  return std::max<Duration>(
      RefusalEjection, std::chrono::duration_cast<Duration>(BetweenRefusals));
}

double ServerRoster::load(Entry const &Server, TimePoint Now) const {
  bool const IsFresh = Server.LoadReportedAt_ + LoadValidity > Now;
  return Server.Attempts_.Running_ + (IsFresh ? Server.RemoteRunning_ : 0.0);
}

double ServerRoster::adjustedLoad(Entry const &Server, TimePoint Now) const {
  return load(Server, Now) + SlowAttemptWeight * Server.Attempts_.Slow_;
}

bool ServerRoster::isInLocalRegion(DataCentre const &Centre) const {
  return Centre == Geography_.Local_ ||
         regionOf(Geography_, Centre) ==
             regionOf(Geography_, Geography_.Local_);
}

double ServerRoster::distanceCost(DataCentre const &Centre) const {
  if (Centre == Geography_.Local_)
    return 0.0;
  return isInLocalRegion(Centre) ? OtherDataCentreCost : OtherRegionCost;
}

double ServerRoster::cost(Entry const &Server, TimePoint Now) const {
  auto const Slots = slotsOf(Server.Record_);
  auto const Load = adjustedLoad(Server, Now);
  // Tokens for a rate limited server are lost if they are not used, and the
  // capacity of the other servers is not: it is preferred, wherever it is.
  if (RateLimiter_.isLimited(Server.Incarnation_))
    return Load / Slots;
  return (Load + 1.0) / Slots + distanceCost(Server.Record_.DataCentre_);
}

bool ServerRoster::isServed(ServiceName const &Service, TimePoint Now) const {
  return std::any_of(Servers_.begin(), Servers_.end(), [&](auto const &Pair) {
    return Pair.second.Record_.Service_ == Service &&
           takesRequests(Pair.second, Now);
  });
}

bool ServerRoster::matches(Entry const &Server,
                           ServerQuery const &Query) const {
  return Server.Record_.Service_ == Query.Service_ &&
         !Query.Excluded_.contains(Server.Incarnation_) &&
         (!Query.SoftwareVersion_ ||
          *Query.SoftwareVersion_ == Server.Record_.SoftwareVersion_) &&
         (Query.VersionRequirement_ == VersionRequirement::None ||
          Recorded_.contains(
              {Server.Record_.Service_, Server.Record_.SoftwareVersion_}));
}

bool ServerRoster::hasOtherVersion(ServiceName const &Service,
                                   std::string const &Version) const {
  return std::any_of(Servers_.begin(), Servers_.end(), [&](auto const &Pair) {
    return Pair.second.Record_.Service_ == Service &&
           Pair.second.Record_.SoftwareVersion_ != Version &&
           isStaying(Pair.second);
  });
}

bool ServerRoster::hasMatch(ServerQuery const &Query) const {
  return std::any_of(Servers_.begin(), Servers_.end(), [&](auto const &Pair) {
    return matches(Pair.second, Query) && isStaying(Pair.second);
  });
}

ServerRoster::Entry *ServerRoster::find(ServerRecord const &Server) {
  auto const Found = Servers_.find(Server.Id_);
  return Found == Servers_.end() ||
                 !isSameIncarnation(Found->second.Record_, Server)
             ? nullptr
             : &Found->second;
}

void ServerRoster::onSent(ServerRecord const &To, TimePoint Now) {
  updateAttempts(To, [](Attempts &Counts) { ++Counts.Running_; });
  if (auto const *const Found = find(To))
    RateLimiter_.onSent(Found->Incarnation_, Now);
}

void ServerRoster::onEnded(ServerRecord const &At, AttemptHealth Health,
                           TimePoint Now) {
  updateAttempts(At, [](Attempts &Counts) {
    if (Counts.Running_ > 0)
      --Counts.Running_;
  });
  auto *const Found = find(At);
  if (!Found)
    return;
  auto &Server = *Found;
  if (Health == AttemptHealth::Worked) {
    Server.Failures_ = 0;
    if (Server.Status_.UnreachableReports_ > 0)
      updateStatus(ServerId(Server.Incarnation_), Now,
                   [](IncarnationStatus &Status) {
                     Status.UnreachableUntil_ = TimePoint::min();
                     Status.UnreachableReports_ = 0;
                   });
  } else if (Health == AttemptHealth::Refused) {
    Server.EjectedUntil_ =
        std::max(Server.EjectedUntil_, Now + refusalEjection(Server));
  } else if (Health == AttemptHealth::Failed) {
    auto const Doublings = std::min(Server.Failures_++, MaxEjectionDoublings);
    Server.EjectedUntil_ = Now + InitialEjection * (1U << Doublings);
  }
}

void ServerRoster::onLoad(ServerRecord const &Of, ServerLoad const &Load,
                          TimePoint Now) {
  auto *const Found = find(Of);
  if (!Found)
    return;
  auto &Server = *Found;
  auto const Total = static_cast<double>(Load.Running_ + Load.Waiting_);
  Server.RemoteRunning_ = std::max(0.0, Total - Server.Attempts_.Running_);
  Server.Slowdown_ = Load.Slowdown_;
  Server.LoadReportedAt_ = Now;
}

void ServerRoster::onMaxRefusals(ServerRecord const &Of,
                                 std::optional<double> PerSecond) {
  if (auto *const Found = find(Of))
    Found->MaxRefusalsPerSecond_ = PerSecond;
}

void ServerRoster::onSlowFirstByte(ServerRecord const &Of) {
  updateAttempts(Of, [](Attempts &Counts) { ++Counts.Slow_; });
}

void ServerRoster::onFirstByteWaitEnded(ServerRecord const &Of) {
  updateAttempts(Of, [](Attempts &Counts) {
    if (Counts.Slow_ > 0)
      --Counts.Slow_;
  });
}

template <typename Function>
void ServerRoster::updateStatus(ServerId const &Incarnation, TimePoint Now,
                                Function Change) {
  std::erase_if(Statuses_, [&](auto const &Pair) {
    return Pair.second.RetainUntil_ <= Now;
  });
  auto &Status = Statuses_[Incarnation];
  Change(Status);
  Status.RetainUntil_ = std::max(Now + StatusRetention, Status.BackoffUntil_);
  for (auto &[Id, Server] : Servers_)
    if (Server.Incarnation_ == Incarnation)
      Server.Status_ = Status;
}

bool ServerRoster::onLeaving(ServerId const &Incarnation, TimePoint Now) {
  bool IsNew = false;
  updateStatus(Incarnation, Now, [&](IncarnationStatus &Status) {
    IsNew = !std::exchange(Status.IsLeaving_, true);
  });
  return IsNew;
}

bool ServerRoster::onUnreachable(ServerId const &Incarnation, TimePoint Now) {
  bool IsNew = false;
  updateStatus(Incarnation, Now, [&](IncarnationStatus &Status) {
    IsNew = Status.UnreachableUntil_ <= Now;
    if (IsNew)
      Status.UnreachableUntil_ =
          Now +
          InitialUnreachableTime * (1U << std::min(Status.UnreachableReports_++,
                                                   MaxUnreachableDoublings));
  });
  return IsNew;
}

void ServerRoster::onBackoffRequested(ServerId const &Incarnation, Duration For,
                                      TimePoint Now) {
  updateStatus(Incarnation, Now, [&](IncarnationStatus &Status) {
    Status.BackoffUntil_ = std::max(Status.BackoffUntil_, Now + For);
  });
}

double ServerRoster::usableTokens(Entry const &Server, TimePoint Until) const {
  return Server.Status_.BackoffUntil_ > Until
             ? 0.0
             : std::floor(RateLimiter_.tokensAt(Server.Incarnation_, Until));
}

std::optional<ServiceExhaustion>
ServerRoster::exhaustion(ServiceName const &Service, std::size_t Ahead,
                         TimePoint GiveUpAt, TimePoint Now) {
  bool IsServed = false;
  bool IsAnyLimited = false;
  auto RetryAt = TimePoint::max();
  double Tokens = 0.0;
  double Rate = 0.0;
  for (auto const &[Id, Server] : Servers_) {
    if (Server.Record_.Service_ != Service || !isStaying(Server))
      continue;
    IsServed = true;
    if (RateLimiter_.isLimited(Server.Incarnation_)) {
      IsAnyLimited = true;
      Tokens += usableTokens(Server, GiveUpAt);
      Rate += RateLimiter_.localRate(Server.Incarnation_);
    } else if (Server.Status_.BackoffUntil_ <= GiveUpAt) {
      return std::nullopt;
    } else {
      RetryAt = std::min(RetryAt, Server.Status_.BackoffUntil_);
    }
  }
  if (!IsServed || Tokens > static_cast<double>(Ahead))
    return std::nullopt;
  if (IsAnyLimited) {
    // Without a part of any limit, other instances may serve the retry.
    std::chrono::duration<double> const Wait(
        Rate > 0.0 ? (static_cast<double>(Ahead) + 1.0) / Rate : 0.0);
    RetryAt = std::min(
        RetryAt,
        Now + std::chrono::duration_cast<Duration>(
                  std::clamp<std::chrono::duration<double>>(
                      Wait, MinRetryAfterRateLimit, MaxRetryAfterRateLimit)));
  }
  std::uniform_real_distribution<double> Spread(1.0, 1.0 + RetryAfterJitter);
  return ServiceExhaustion{IsAnyLimited ? ExhaustionCause::RateLimit
                                        : ExhaustionCause::Backoff,
                           std::chrono::duration_cast<Duration>(
                               (RetryAt - Now) * Spread(Generator_))};
}

RateLimitSummary ServerRoster::rateLimitSummary(ServiceName const &Service,
                                                TimePoint Now) const {
  RateLimitSummary Summary;
  for (auto const &[Id, Server] : Servers_) {
    if (Server.Record_.Service_ != Service || !isStaying(Server) ||
        !RateLimiter_.isLimited(Server.Incarnation_))
      continue;
    ++Summary.Limited_;
    Summary.LocalRate_ += RateLimiter_.localRate(Server.Incarnation_);
    Summary.Tokens_ += usableTokens(Server, Now);
  }
  return Summary;
}

bool ServerRoster::isLeaving(ServerRecord const &Server) const {
  auto const Found = Servers_.find(Server.Id_);
  return Found == Servers_.end() ||
         !isSameIncarnation(Found->second.Record_, Server) ||
         !isStaying(Found->second);
}

bool ServerRoster::isReplaced(ServerRecord const &Server) const {
  return std::any_of(Servers_.begin(), Servers_.end(), [&](auto const &Pair) {
    auto const &Listed = Pair.second.Record_;
    return (Listed.Id_ == Server.Id_ || Listed.Endpoint_ == Server.Endpoint_) &&
           Listed.IncarnationStartMilliseconds_ >
               Server.IncarnationStartMilliseconds_;
  });
}

std::vector<ServerRecord> ServerRoster::records() const {
  std::vector<ServerRecord> Records;
  for (auto const &[Id, Server] : Servers_)
    Records.push_back(Server.Record_);
  return Records;
}

std::vector<ServerRecord> ServerRoster::staying(ServiceName const &Service) {
  std::vector<ServerRecord> Staying;
  for (auto const &[Id, Server] : Servers_)
    if (Server.Record_.Service_ == Service && isStaying(Server))
      Staying.push_back(Server.Record_);
  std::shuffle(Staying.begin(), Staying.end(), Generator_);
  return Staying;
}

std::map<ServiceName, std::uint32_t> ServerRoster::runningByService() const {
  std::map<ServiceName, std::uint32_t> Running;
  for (auto const &[Id, Server] : Servers_)
    Running[Server.Record_.Service_] += Server.Attempts_.Running_;
  return Running;
}

std::uint32_t ServerRoster::running(ServerId const &Id) const {
  auto const Found = Servers_.find(Id);
  return Found == Servers_.end() ? 0 : Found->second.Attempts_.Running_;
}

} // namespace laburnum
