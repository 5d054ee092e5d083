#include <LibGuard/CrashGuard.h>

#include <algorithm>

namespace laburnum {

namespace {

/// How long an incident counts.
constexpr Duration IncidentLifetime = std::chrono::minutes(10);
/// How long a disconnect may wait for its classification.
constexpr Duration ClassificationTimeout = std::chrono::seconds(1);
/// How long after a reclaim notice a crash in its data centre counts as part of
/// the reclaim.
constexpr Duration ReclaimWindow = std::chrono::seconds(60);
/// Servers lost within this time count as lost together.
constexpr Duration SimultaneousLossWindow = std::chrono::seconds(5);
/// Maximum number of suspect contents, which bounds the memory that reports can
/// use; about 1 MB.
constexpr std::size_t MaxContents = 4096;
/// Mean time between two trials of the whole fleet.
constexpr Duration TrialPeriod = std::chrono::milliseconds(250);

bool mayBeCrash(AttemptEvidence const &Evidence) {
  return Evidence.End_ == AttemptEnd::ConnectionFailed &&
         Evidence.Progress_ >= AttemptProgress::RequestSent;
}

bool isCompleteAnswer(AttemptEvidence const &Evidence) {
  return Evidence.Progress_ == AttemptProgress::AnswerWhole &&
         Evidence.End_ == AttemptEnd::Answered;
}

} // namespace

CrashVerdict CrashGuard::verdict(std::uint64_t Fingerprint,
                                 TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  auto const Found = IncidentsByContent_.find(Fingerprint);
  if (Found == IncidentsByContent_.end())
    return CrashVerdict::Run;
  auto const &Known = Found->second;
  if (isRefused(Known, Now))
    return CrashVerdict::Refuse;
  if (Policy_.MaxSharedCrashes_)
    return CrashVerdict::Run;
  if (std::none_of(Known.begin(), Known.end(), [&](auto const &Entry) {
        return counts(Entry.second, Now);
      }))
    return CrashVerdict::Run;
  if (isRunning(Fingerprint) || awaitsClassification(Known, Now))
    return CrashVerdict::Wait;
  return CrashVerdict::RunIsolated;
}

std::optional<TimePoint> CrashGuard::refusedUntil(std::uint64_t Fingerprint,
                                                  TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  return sharedRefusalEnd(Fingerprint, Now);
}

std::optional<CrashRefusal>
CrashGuard::refusal(RequestFingerprints const &Request, TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  if (auto const Until = sharedRefusalEnd(Request.Content_, Now))
    return CrashRefusal{Request.Content_, *Until};
  std::optional<CrashRefusal> AwaitsTrial;
  for (auto const Part : Request.Parts_) {
    auto const Until = sharedRefusalEnd(Part, Now);
    if (!Until)
      continue;
    auto const Admission = admissionOf(Part, Request, Now);
    if (Admission == PartAdmission::Refuse)
      return CrashRefusal{Part, *Until};
    if (Admission == PartAdmission::Trial && Now < NextTrialAt_)
      AwaitsTrial = CrashRefusal{Part, std::min(*Until, NextTrialAt_)};
  }
  return AwaitsTrial;
}

std::set<ServerId> CrashGuard::serversBrokenOffOn(std::uint64_t Fingerprint,
                                                  TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  auto const Found = IncidentsByContent_.find(Fingerprint);
  return Found == IncidentsByContent_.end()
             ? std::set<ServerId>()
             : crashedServers(Found->second, Now);
}

bool CrashGuard::mayConfirmReclaim(ServerId const &Server,
                                   ServerId const &Other, TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  for (auto const &[Fingerprint, Known] : IncidentsByContent_) {
    bool IsOnServer = false;
    bool IsOnOther = false;
    for (auto const &[Name, Record] : Known) {
      if (Record.Server_ == Other && Now - Record.At_ > SimultaneousLossWindow)
        return false;
      IsOnServer |= Record.Server_ == Server;
      IsOnOther |= Record.Server_ == Other;
    }
    if (IsOnServer && IsOnOther)
      return false;
  }
  return true;
}

void CrashGuard::onStarted(std::uint64_t Fingerprint, ServerId const &Server,
                           Isolation Isolation) {
  std::lock_guard const Lock(Mutex_);
  auto &Counts = Running_[Server][Fingerprint];
  ++(Isolation == Isolation::Isolated ? Counts.Isolated_ : Counts.Shared_);
}

std::vector<CrashReport> CrashGuard::onEnded(std::uint64_t Fingerprint,
                                             ServerId const &Server,
                                             AttemptEvidence const &Evidence,
                                             TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Ran = endAttempt(Fingerprint, Server);
  if (isCompleteAnswer(Evidence)) {
    if (Policy_.MaxSharedCrashes_)
      Answers_.add(Fingerprint, Now);
    return clear(Fingerprint, Now);
  }
  auto const Reclaim = Reclaimed_.find(Server);
  if (!mayBeCrash(Evidence) || !Ran || Answers_.contains(Fingerprint, Now) ||
      (Reclaim != Reclaimed_.end() && Now - Reclaim->second < IncidentLifetime))
    return {};
  Incident const Seen{Server, CrashEvidence::BrokenOff, Now, *Ran};
  return {addIncident(Fingerprint, Seen, Now)};
}

void CrashGuard::onStarted(RequestFingerprints const &Request,
                           ServerId const &Server, TimePoint Now) {
  noteTrial(Request, Now);
  onStarted(Request.Content_, Server, Isolation::Shared);
  for (auto const Part : Request.Parts_)
    onStarted(Part, Server, Isolation::Shared);
}

std::vector<CrashReport> CrashGuard::onEnded(RequestFingerprints const &Request,
                                             ServerId const &Server,
                                             AttemptEvidence const &Evidence,
                                             TimePoint Now) {
  auto Reports = onEnded(Request.Content_, Server, Evidence, Now);
  for (auto const Part : Request.Parts_) {
    auto const OfPart = onEnded(Part, Server, Evidence, Now);
    Reports.insert(Reports.end(), OfPart.begin(), OfPart.end());
  }
  return Reports;
}

std::vector<CrashReport>
CrashGuard::onDisconnectClassified(BackendServer const &Server,
                                   DisconnectCause Cause, TimePoint Now) {
  if (Cause == DisconnectCause::Undecided)
    return {};
  if (Cause == DisconnectCause::Crash)
    return onCrash(Server, Now);
  std::lock_guard const Lock(Mutex_);
  auto const Evidence = Cause == DisconnectCause::MachineLost
                            ? CrashEvidence::ServerLost
                            : CrashEvidence::Cleared;
  return resolveDisconnects(Server.Id_, Evidence, Now);
}

std::vector<CrashReport> CrashGuard::onCrash(BackendServer const &Server,
                                             TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  if (isInReclaim(Server, Now))
    return resolveDisconnects(Server.Id_, CrashEvidence::Cleared, Now);
  auto Reports = resolveDisconnects(Server.Id_, CrashEvidence::Crashed, Now);
  auto const Others = markRunningCrashed(Server.Id_, Now);
  Reports.insert(Reports.end(), Others.begin(), Others.end());
  return Reports;
}

void CrashGuard::onReclaim(BackendServer const &Server, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  LastReclaim_[Server.DataCentre_] = Now;
  Reclaimed_[Server.Id_] = Now;
  for (auto &[Fingerprint, Known] : IncidentsByContent_)
    for (auto &[Name, Record] : Known)
      if (Record.Server_ == Server.Id_ && Now - Record.At_ <= ReclaimWindow)
        Record.Evidence_ = CrashEvidence::Cleared;
}

std::vector<CrashReport> CrashGuard::reports(TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Reports;
  for (auto const &[Fingerprint, Known] : IncidentsByContent_)
    addReports(Fingerprint, Known, Now, Reports);
  return Reports;
}

std::vector<CrashReport> CrashGuard::reportsOf(std::uint64_t Fingerprint,
                                               TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Reports;
  auto const Found = IncidentsByContent_.find(Fingerprint);
  if (Found != IncidentsByContent_.end())
    addReports(Fingerprint, Found->second, Now, Reports);
  return Reports;
}

std::vector<CrashReport>
CrashGuard::merge(std::vector<CrashReport> const &Reports, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Cleared;
  for (auto const &Report : Reports) {
    auto const At = Now - std::max(Report.Age_, Duration::zero());
    auto &Record = incidentsOf(Report.Fingerprint_)
                       .try_emplace(Report.Incident_,
                                    Incident{Report.Server_, Report.Evidence_,
                                             At, Isolation::Shared})
                       .first->second;
    Record.Evidence_ = std::max(Record.Evidence_, Report.Evidence_);
    Record.At_ = std::min(Record.At_, At);
    if (counts(Record, Now) && Answers_.contains(Report.Fingerprint_, Now)) {
      Record.Evidence_ = CrashEvidence::Cleared;
      Cleared.push_back({Report.Incident_, Report.Fingerprint_, Record.Server_,
                         Record.Evidence_, Now - Record.At_});
    }
  }
  return Cleared;
}

void CrashGuard::setInstances(std::size_t Count) {
  std::lock_guard const Lock(Mutex_);
  Instances_ = std::max<std::size_t>(Count, 1);
}

void CrashGuard::expire(TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  for (auto &[Fingerprint, Known] : IncidentsByContent_)
    std::erase_if(Known, [&](auto const &Entry) {
      return Now - Entry.second.At_ >= IncidentLifetime;
    });
  std::erase_if(IncidentsByContent_,
                [](auto const &Entry) { return Entry.second.empty(); });
  std::erase_if(Reclaimed_, [&](auto const &Entry) {
    return Now - Entry.second >= IncidentLifetime;
  });
}

void CrashGuard::addReports(std::uint64_t Fingerprint, Incidents const &Known,
                            TimePoint Now, std::vector<CrashReport> &Into) {
  for (auto const &[Name, Record] : Known)
    if (Now - Record.At_ < IncidentLifetime)
      Into.push_back({Name, Fingerprint, Record.Server_, Record.Evidence_,
                      Now - Record.At_});
}

bool CrashGuard::counts(Incident const &Record, TimePoint Now) const {
  return Record.Evidence_ != CrashEvidence::Cleared &&
         Now - Record.At_ < IncidentLifetime;
}

bool CrashGuard::isRunning(std::uint64_t Fingerprint) const {
  return std::any_of(Running_.begin(), Running_.end(), [&](auto const &Entry) {
    return Entry.second.contains(Fingerprint);
  });
}

bool CrashGuard::isRefused(Incidents const &Known, TimePoint Now) const {
  return Policy_.MaxSharedCrashes_ ? sharedRefusalEnd(Known, Now).has_value()
                                   : hasCrashedIsolated(Known, Now);
}

/// Returns when fewer crashed servers count than the policy's bound, or nothing
/// if they are already fewer. Several disconnects on one server are one crash.
std::optional<TimePoint> CrashGuard::sharedRefusalEnd(Incidents const &Known,
                                                      TimePoint Now) const {
  if (!Policy_.MaxSharedCrashes_ || Known.size() < *Policy_.MaxSharedCrashes_)
    return std::nullopt;
  std::map<ServerId, TimePoint> Crashes;
  for (auto const &[Name, Record] : Known)
    if (counts(Record, Now)) {
      auto &At = Crashes.try_emplace(Record.Server_, Record.At_).first->second;
      At = std::max(At, Record.At_);
    }
  if (Crashes.size() < *Policy_.MaxSharedCrashes_)
    return std::nullopt;
  std::vector<TimePoint> Times;
  for (auto const &[Server, At] : Crashes)
    Times.push_back(At);
  auto const Deciding =
      Times.end() - static_cast<std::ptrdiff_t>(*Policy_.MaxSharedCrashes_);
  std::nth_element(Times.begin(), Deciding, Times.end());
  return *Deciding + IncidentLifetime;
}

std::optional<TimePoint> CrashGuard::sharedRefusalEnd(std::uint64_t Fingerprint,
                                                      TimePoint Now) const {
  auto const Found = IncidentsByContent_.find(Fingerprint);
  return Found == IncidentsByContent_.end()
             ? std::nullopt
             : sharedRefusalEnd(Found->second, Now);
}

/// Returns the servers whose disconnects count.
std::set<ServerId> CrashGuard::crashedServers(Incidents const &Known,
                                              TimePoint Now) const {
  std::set<ServerId> Servers;
  for (auto const &[Name, Record] : Known)
    if (counts(Record, Now))
      Servers.insert(Record.Server_);
  return Servers;
}

/// Returns how a request may run that holds this suspected part. Other
/// suspects, which the request does not hold, explain the crashes that they
/// were running at.
CrashGuard::PartAdmission
CrashGuard::admissionOf(std::uint64_t Part, RequestFingerprints const &Request,
                        TimePoint Now) const {
  auto const Crashes = crashedServers(IncidentsByContent_.at(Part), Now);
  auto Unexplained = Crashes;
  bool IsExplainedByOne = false;
  for (auto const &[Fingerprint, Known] : IncidentsByContent_) {
    bool const IsOfRequest =
        Fingerprint == Request.Content_ ||
        std::find(Request.Parts_.begin(), Request.Parts_.end(), Fingerprint) !=
            Request.Parts_.end();
    if (IsOfRequest || !sharedRefusalEnd(Known, Now))
      continue;
    auto const Explained = crashedServers(Known, Now);
    IsExplainedByOne |= std::includes(Explained.begin(), Explained.end(),
                                      Crashes.begin(), Crashes.end());
    for (auto const &Server : Explained)
      Unexplained.erase(Server);
  }
  if (Crashes.size() >= Policy_.MaxAmbiguousCrashes_)
    return IsExplainedByOne ? PartAdmission::Trial : PartAdmission::Refuse;
  return Unexplained.empty() ? PartAdmission::Run : PartAdmission::Refuse;
}

/// Delays the next trial if a request that is not refused runs as one.
void CrashGuard::noteTrial(RequestFingerprints const &Request, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  if (std::none_of(Request.Parts_.begin(), Request.Parts_.end(),
                   [&](std::uint64_t Part) {
                     return sharedRefusalEnd(Part, Now) &&
                            admissionOf(Part, Request, Now) ==
                                PartAdmission::Trial;
                   }))
    return;
  // Spread, so that instances that start together do not go on together.
  auto const Pause = TrialPeriod * Instances_;
  std::uniform_int_distribution<Duration::rep> Spread(Pause.count() / 2,
                                                      Pause.count() * 3 / 2);
  NextTrialAt_ = Now + Duration(Spread(Generator_));
}

/// Returns the content's incidents. When there are too many contents, drops the
/// one whose last disconnect is oldest.
CrashGuard::Incidents &CrashGuard::incidentsOf(std::uint64_t Fingerprint) {
  auto const Found = IncidentsByContent_.find(Fingerprint);
  if (Found != IncidentsByContent_.end())
    return Found->second;
  auto const LastDisconnect = [](auto const &Entry) {
    auto Last = TimePoint::min();
    for (auto const &[Name, Record] : Entry.second)
      Last = std::max(Last, Record.At_);
    return Last;
  };
  if (IncidentsByContent_.size() >= MaxContents)
    IncidentsByContent_.erase(
        std::min_element(IncidentsByContent_.begin(), IncidentsByContent_.end(),
                         [&](auto const &Left, auto const &Right) {
                           return LastDisconnect(Left) < LastDisconnect(Right);
                         }));
  return IncidentsByContent_[Fingerprint];
}

/// Returns whether the content was disconnected, and later or elsewhere a
/// server crashed while running it isolated.
bool CrashGuard::hasCrashedIsolated(Incidents const &Known,
                                    TimePoint Now) const {
  for (auto const &[Name, Isolated] : Known) {
    if (Isolated.Evidence_ != CrashEvidence::CrashedAlone ||
        !counts(Isolated, Now))
      continue;
    for (auto const &[OtherName, Other] : Known)
      if (counts(Other, Now) &&
          (Other.Server_ != Isolated.Server_ || Other.At_ < Isolated.At_))
        return true;
  }
  return false;
}

bool CrashGuard::awaitsClassification(Incidents const &Known,
                                      TimePoint Now) const {
  return std::any_of(Known.begin(), Known.end(), [&](auto const &Entry) {
    return Entry.second.Evidence_ == CrashEvidence::BrokenOff &&
           Now - Entry.second.At_ < ClassificationTimeout;
  });
}

/// Returns the isolation of the ended attempt, or nothing if no such attempt
/// was running.
std::optional<Isolation> CrashGuard::endAttempt(std::uint64_t Fingerprint,
                                                ServerId const &Server) {
  auto const OnServer = Running_.find(Server);
  if (OnServer == Running_.end())
    return std::nullopt;
  auto const Found = OnServer->second.find(Fingerprint);
  if (Found == OnServer->second.end())
    return std::nullopt;
  auto &Counts = Found->second;
  auto const Ran =
      Counts.Isolated_ > 0 ? Isolation::Isolated : Isolation::Shared;
  --(Ran == Isolation::Isolated ? Counts.Isolated_ : Counts.Shared_);
  if (Counts.Isolated_ + Counts.Shared_ == 0)
    OnServer->second.erase(Found);
  if (OnServer->second.empty())
    Running_.erase(OnServer);
  return Ran;
}

CrashReport CrashGuard::addIncident(std::uint64_t Fingerprint, Incident Seen,
                                    TimePoint Now) {
  auto const Name = Generator_();
  incidentsOf(Fingerprint)[Name] = Seen;
  return {Name, Fingerprint, Seen.Server_, Seen.Evidence_, Now - Seen.At_};
}

/// Clears the content after a complete answer. A copy that ran elsewhere does
/// not clear content that crashed a server while isolated.
std::vector<CrashReport> CrashGuard::clear(std::uint64_t Fingerprint,
                                           TimePoint Now) {
  auto const Found = IncidentsByContent_.find(Fingerprint);
  if (Found == IncidentsByContent_.end() ||
      (!Policy_.MaxSharedCrashes_ && isRefused(Found->second, Now)))
    return {};
  std::vector<CrashReport> Reports;
  for (auto &[Name, Record] : Found->second) {
    if (!counts(Record, Now))
      continue;
    Record.Evidence_ = CrashEvidence::Cleared;
    Reports.push_back({Name, Fingerprint, Record.Server_, Record.Evidence_,
                       Now - Record.At_});
  }
  return Reports;
}

std::vector<CrashReport> CrashGuard::resolveDisconnects(ServerId const &Server,
                                                        CrashEvidence Evidence,
                                                        TimePoint Now) {
  std::vector<CrashReport> Reports;
  for (auto &[Fingerprint, Known] : IncidentsByContent_) {
    for (auto &[Name, Record] : Known) {
      if (Record.Server_ != Server ||
          Record.Evidence_ != CrashEvidence::BrokenOff)
        continue;
      Record.Evidence_ = Evidence;
      if (Evidence == CrashEvidence::Crashed &&
          Record.Isolation_ == Isolation::Isolated)
        Record.Evidence_ = CrashEvidence::CrashedAlone;
      Reports.push_back(
          {Name, Fingerprint, Server, Record.Evidence_, Now - Record.At_});
    }
  }
  return Reports;
}

/// Reports the attempts on a crashed server whose disconnect was not observed
/// yet. They are removed, so that their disconnect does not count again.
std::vector<CrashReport> CrashGuard::markRunningCrashed(ServerId const &Server,
                                                        TimePoint Now) {
  std::vector<CrashReport> Reports;
  auto const Found = Running_.find(Server);
  if (Found == Running_.end())
    return Reports;
  for (auto const &[Fingerprint, Counts] : Found->second) {
    auto const IsIsolated = Counts.Isolated_ > 0;
    Incident const Seen{
        Server,
        IsIsolated ? CrashEvidence::CrashedAlone : CrashEvidence::Crashed, Now,
        IsIsolated ? Isolation::Isolated : Isolation::Shared};
    Reports.push_back(addIncident(Fingerprint, Seen, Now));
  }
  Running_.erase(Found);
  return Reports;
}

bool CrashGuard::isInReclaim(BackendServer const &Server, TimePoint Now) const {
  auto const Found = LastReclaim_.find(Server.DataCentre_);
  return Found != LastReclaim_.end() && Now - Found->second <= ReclaimWindow;
}

} // namespace laburnum
