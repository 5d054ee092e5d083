#include <FaultMatrix/World.h>

#include <LibModel/JsonCodec.h>

#include <algorithm>
#include <utility>

namespace laburnum::faults {

namespace {

constexpr Duration ReclaimNoticeTime = std::chrono::seconds(2);
constexpr Duration WaveNoticeTime = std::chrono::seconds(1);
constexpr Duration ReplacementTime = std::chrono::seconds(4);
constexpr Duration LateReplacementTime = std::chrono::seconds(7);
constexpr Duration CrashDetectionTime = std::chrono::milliseconds(3);
constexpr Duration CrashRestartTime = std::chrono::seconds(1);
/// The maximum time from the last fault until the configuration is in force at
/// all instances.
constexpr Duration ConvergenceTime = std::chrono::seconds(6);
constexpr Duration RestTime = std::chrono::seconds(14);
constexpr Duration OperatorPause = std::chrono::seconds(1);
constexpr std::uint32_t WatchesBroken = 20;
/// The number of servers that one request may crash while instances can
/// communicate.
constexpr std::size_t MaxCrashes = 2;

ObjectName const ContendedObject{ObjectKind::Service, "desk"};

} // namespace

void World::inject(Fault Injected, StepLocation const &Location) {
  switch (Injected) {
  case Fault::ProcessKilled:
    return kill(Location.Instance_);
  case Fault::ProcessPaused:
    return pause(Location.Instance_);
  case Fault::DataCentresCut:
    return partitionDataCentres(FaultTime);
  case Fault::LateAndDuplicate:
    AreMessagesDuplicated_ = true;
    Backends_.setDuplicates(true);
    return Queue_.after(FaultTime, [this] {
      AreMessagesDuplicated_ = false;
      Backends_.setDuplicates(false);
    });
  case Fault::OperatorsRacing:
    return raceOperators("race", Location.Instance_);
  case Fault::LeaseLapsed:
    return;
  default:
    injectPlatform(Injected, Location);
    injectServers(Injected, Location);
  }
}

void World::partitionDataCentres(Duration Span) {
  AreDataCentresPartitioned_ = true;
  Queue_.after(Span, [this] {
    AreDataCentresPartitioned_ = false;
    PartitionEndedAt_ = Queue_.now();
  });
}

void World::injectPlatform(Fault Injected, StepLocation const &Location) {
  switch (Injected) {
  case Fault::PlatformCut:
    Platform_.cut(Location.Instance_);
    return Queue_.after(FaultTime, [this] { Platform_.healCuts(); });
  case Fault::PlatformSlow:
    Platform_.setPace(PlatformPace::Slow);
    return Queue_.after(FaultTime,
                        [this] { Platform_.setPace(PlatformPace::Normal); });
  case Fault::PlatformDown:
    Platform_.beginOutage();
    return Queue_.after(FaultTime, [this] { Platform_.endOutage(); });
  case Fault::AnswerLost:
    return Platform_.loseAnswers(1);
  case Fault::StaleRead:
    Platform_.serveReadsAsOf(Platform_.store().version() - 1);
    return Queue_.after(FaultTime,
                        [this] { Platform_.serveReadsAsOf(std::nullopt); });
  case Fault::WatchGap:
    return Platform_.breakWatches(WatchesBroken);
  default:
    return;
  }
}

void World::injectServers(Fault Injected, StepLocation const &Location) {
  auto const Target = Location.Server_.value_or(ServerId("p1"));
  auto const &Server = Backends_.server(Target);
  switch (Injected) {
  case Fault::ReclaimWithNotice:
    return reclaim(Target, ReclaimNoticeTime);
  case Fault::ReclaimWithoutNotice:
    return terminateServer(Target);
  case Fault::Wave:
    for (auto const &Id : Backends_.serversIn(Server.DataCentre_))
      reclaim(Id, WaveNoticeTime);
    return;
  case Fault::ReplacementRefused:
    for (auto const &Location : {DataCentre("near"), DataCentre("far")})
      for (auto const &Id : Backends_.serversIn(Location))
        if (Backends_.server(Id).Service_ == Server.Service_) {
          Backends_.stop(Id);
          replaceLater(Id, LateReplacementTime);
        }
    return;
  case Fault::CrashingRequest:
    if (Server.Service_ == ServiceName("desk"))
      call("crash", Idempotence::Idempotent, Location.Instance_);
    else
      stream("crash", 4, Location.Instance_);
    return;
  default:
    return;
  }
}

void World::reclaim(ServerId const &Id, Duration Notice) {
  Notices_.push_back({{Id.text(), Backends_.server(Id).DataCentre_, Notice},
                      Queue_.now() + Notice});
  Departures_[Id].ListedFrom_ = Queue_.now();
  Queue_.after(Notice, [=, this] { Backends_.stop(Id); });
  replaceLater(Id, ReplacementTime);
}

void World::terminateServer(ServerId const &Id) {
  Backends_.stop(Id);
  replaceLater(Id, ReplacementTime);
}

/// The replacement has the same name and a higher version.
void World::replaceLater(ServerId const &Id, Duration Delay) {
  Queue_.after(Delay, [=, this] {
    if (PermanentDepartures_.contains(Id))
      return;
    Departures_.erase(Id);
    Backends_.start(Id);
    applyServer(Id,
                "replace-" + Id.text() + "-" + std::to_string(NextChange_++));
  });
}

void World::announceDeparture(ServerId const &Server, DepartureSource Source,
                              Duration Remaining) {
  PermanentDepartures_.insert(Server);
  auto &Departure = Departures_[Server];
  ReclaimNotice const Notice{Server.text(),
                             Backends_.server(Server).DataCentre_, Remaining};
  if (Source != DepartureSource::Refusal)
    Departure.ListedFrom_ = Queue_.now() + (Source == DepartureSource::List
                                                ? Duration(0)
                                                : std::chrono::seconds(1));
  if (Source == DepartureSource::Refusal)
    Backends_.setRefusing(Server, true);
  if (Source == DepartureSource::Peer)
    OnlyNotifiedInstance_ = 0;
  if (Source == DepartureSource::Notice || Source == DepartureSource::Peer)
    Notices_.push_back({Notice, Queue_.now() + Remaining});
}

void World::onWork(ServerId const &Server, AttemptOwner const &Owner) {
  auto const Found = Departures_.find(Server);
  if (Found == Departures_.end() || !Found->second.KnownSince_)
    return;
  auto Since =
      std::max({*Found->second.KnownSince_,
                Hosts_[Owner.Instance_].ActiveSince_, PartitionEndedAt_});
  // An overloaded server refuses requests like a leaving one: as long as
  // refusals are the only sign of its departure, requests may go to it where no
  // other server is left.
  if (!Hosts_[Owner.Instance_].Entry_->knowsAlternativeTo(Server)) {
    if (!Found->second.ListedFrom_)
      return;
    Since = std::max(Since, *Found->second.ListedFrom_);
  }
  if (Queue_.now() > Since + LeavingBound)
    Oracle_.violate("leaving server " + Server.text() + " got new work from " +
                    Hosts_[Owner.Instance_].Address_.Id_.text());
}

void World::onCrash(ServerId const &Server) {
  if (!Backends_.isUp(Server))
    return;
  Backends_.stop(Server);
  if (++Crashes_ > MaxCrashes)
    Oracle_.violate("one request crashed more servers than the bound");
  Queue_.after(CrashDetectionTime, [=, this] { reportCrash(Server); });
  Queue_.after(CrashRestartTime, [=, this] { Backends_.start(Server); });
}

/// Every instance detects the crash; those whose requests ran on the server
/// notify the others.
void World::reportCrash(ServerId const &Server) {
  std::vector<CrashReport> Reports;
  for (auto &Host : Hosts_)
    if (Host.Entry_)
      for (auto const &Report : Host.Entry_->onCrash(Backends_.server(Server)))
        Reports.push_back(Report);
  for (auto &Host : Hosts_)
    if (Host.Entry_)
      Host.Entry_->onCrashReports(Reports);
}

// Operators

Change World::changeNamed(std::string const &Id) {
  Service Next;
  Next.Name_ = ServiceName(ContendedObject.Name_);
  Next.NonIdempotentCalls_ = {{"POST", "/"}};
  Next.Priority_ = static_cast<std::int32_t>(NextChange_++ % 100);
  return {ChangeKind::Apply,
          ContendedObject,
          encodeJson(Next),
          ChangeId(Id),
          std::nullopt,
          "operator",
          0};
}

void World::change(std::string const &Id, std::size_t Instance) {
  applyChange(changeNamed(Id), Instance);
}

/// The second operator's change is written between the read and the write of
/// the first one; both expect the current version.
void World::raceOperators(std::string const &Id, std::size_t Instance) {
  auto const Current = Platform_.store().find(
      {toString(ContendedObject.Kind_), ContendedObject.Name_});
  auto First = changeNamed(Id + "-first");
  auto Second = changeNamed(Id + "-second");
  First.Expected_ = Current.Version_;
  Second.Expected_ = Current.Version_;
  Platform_.beforeOperatorsPut([=, this] {
    onStepReached(Step::OperatorWriteSent, {Instance, {}, {}});
    applyChange(Second, (Instance + 1) % Instances);
  });
  applyChange(First, Instance);
}

void World::applyServer(ServerId const &Id, std::string const &ChangeName) {
  applyChange({ChangeKind::Apply,
               {ObjectKind::Server, Id.text()},
               encodeJson(Backends_.server(Id)),
               ChangeId(ChangeName),
               std::nullopt,
               "operator",
               0},
              0);
}

void World::applyChange(Change const &Requested, std::size_t Instance) {
  OperatorStore Store(Platform_, Instance);
  auto const Outcome =
      ChangeWriter(Store, PlatformFake::Timeout).apply(Requested);
  Queue_.after(Duration(1),
               [=, this] { onChangeEnd(Requested, Instance, Outcome); });
}

/// An operator whose change has an unknown outcome, or was refused temporarily,
/// submits the same change again through another instance until it learns the
/// outcome.
void World::onChangeEnd(Change const &Requested, std::size_t Instance,
                        ChangeResult const &Outcome) {
  bool const IsAnswerReceived =
      isRunning(Instance) || Requested.Operator_ == "setup";
  auto Next = Requested;
  if (IsAnswerReceived && !isError(Outcome)) {
    auto const &Object = valueOf(Outcome).Object_;
    Oracle_.onChangeAccepted(Object.Name_, Object.Version_, Requested.Id_);
    if (!isRunning(Instance))
      return;
    auto &Accepting = *Hosts_[Instance].Entry_;
    return Accepting.deliver(
        [&Accepting, Object] { Accepting.onLocalChange(Object); });
  }
  auto const Kind =
      IsAnswerReceived ? errorOf(Outcome).Kind_ : ErrorKind::OutcomeUnknown;
  if (IsAnswerReceived && ActiveMutants_.contains(Mutant::AcceptUnwritten))
    return Oracle_.onChangeAccepted(Requested.Name_, 0, Requested.Id_);
  if (Kind == ErrorKind::Conflict)
    return Oracle_.onChangeRejected(Requested.Id_);
  if (Kind == ErrorKind::Unavailable && Requested.Operator_ != "patient") {
    Oracle_.onChangeRejected(Requested.Id_);
    Next.Id_ = ChangeId(Requested.Id_.text() + "+");
  }
  // After an unknown outcome, a refusal of the next submission doesn't tell the
  // outcome of the first.
  if (Kind == ErrorKind::OutcomeUnknown)
    Next.Operator_ = "patient";
  if (ActiveMutants_.contains(Mutant::ForgetChangeId))
    Next.Id_ = ChangeId(Requested.Id_.text() + "?");
  Queue_.after(OperatorPause,
               [=, this] { applyChange(Next, (Instance + 1) % Instances); });
}

// Final checks

void World::heal() {
  if (std::exchange(AreDataCentresPartitioned_, false))
    PartitionEndedAt_ = Queue_.now();
  AreMessagesDuplicated_ = false;
  Backends_.setDuplicates(false);
  Backends_.setEngineFaults({});
  Platform_.endOutages();
  Platform_.setPace(PlatformPace::Normal);
  Platform_.healCuts();
  Platform_.loseAnswers(0);
  Platform_.serveReadsAsOf(std::nullopt);
  Platform_.breakWatches(0);
}

void World::settle(UnknownOutcome Allowed) {
  run(LateReplacementTime);
  heal();
  run(ConvergenceTime);
  for (std::size_t Each = 0; Each < Instances; ++Each)
    checkInForce(Each);
  run(RestTime);
  checkCallers(Allowed);
  checkAudit();
  Oracle_.checkRuns();
}

void World::checkCallers(UnknownOutcome Allowed) {
  for (std::size_t Each = 0; Each < Callers_.count(); ++Each) {
    auto const &Caller = Callers_.caller(Each);
    auto const Key = Caller.Request_.Key_->text();
    if (Key.starts_with("crash") ||
        Caller.Status_ == CallerState::Status::Answered)
      continue;
    bool const IsUnrepeatable =
        Caller.Request_.Idempotence_ == Idempotence::NonIdempotent;
    if (IsUnrepeatable && Allowed == UnknownOutcome::Allowed &&
        Caller.Status_ == CallerState::Status::Indeterminate)
      continue;
    Oracle_.violate("request " + Key + " was not answered");
  }
}

void World::checkInForce(std::size_t Number) {
  auto const &Host = Hosts_[Number];
  if (!Host.Entry_)
    return;
  for (auto const &[Name, Accepted] : Oracle_.accepted()) {
    auto const *Applied = Host.Entry_->configuration().object(Name);
    if (!Applied || Applied->Version_ < Accepted)
      Oracle_.violate("accepted version " + std::to_string(Accepted) + " of " +
                      Name.Name_ + " is not in force at " +
                      Host.Address_.Id_.text());
  }
}

void World::checkAudit() {
  std::map<ChangeId, std::size_t> Entries;
  OperatorStore Store(Platform_, 0);
  ChangeWriter Reader(Store, PlatformFake::Timeout);
  for (auto const &[Name, Unused] : Oracle_.accepted()) {
    auto const Trail = Reader.auditTrail(Name, 1000);
    if (isError(Trail)) {
      Oracle_.violate("the audit trail cannot be read");
      continue;
    }
    for (auto const &Entry : valueOf(Trail))
      ++Entries[Entry.Change_];
  }
  Oracle_.checkAudit(Entries);
}

} // namespace laburnum::faults
