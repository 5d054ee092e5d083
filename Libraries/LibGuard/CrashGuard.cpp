#include <LibGuard/CrashGuard.h>

#include <algorithm>

namespace laburnum {

namespace {

/// How long a crash counts.
constexpr Duration Expiry = std::chrono::minutes(10);
/// How long a break may wait for its judgement.
constexpr Duration JudgementTime = std::chrono::seconds(1);
/// How long after a notice a crash in its data centre is part of the reclaim.
constexpr Duration ReclaimWave = std::chrono::seconds(60);
/// Servers that went within this time went together.
constexpr Duration ServersGoTogether = std::chrono::seconds(5);
/// For how long a whole answer speaks for its content. Content that comes less
/// often is not on three servers that crash together.
constexpr Duration AnswerCounts = std::chrono::seconds(10);
/// Answers kept in mind; about 400 KB.
constexpr std::size_t MostAnswers = 4096;
/// Contents kept in mind, so that reports cannot fill the memory; about 1 MB.
constexpr std::size_t MostContents = 4096;

bool mayBeCrash(AttemptEvidence const &Evidence) {
  return Evidence.End_ == AttemptEnd::ConnectionFailed &&
         Evidence.Progress_ >= AttemptProgress::RequestSent;
}

bool isWhole(AttemptEvidence const &Evidence) {
  return Evidence.Progress_ == AttemptProgress::AnswerWhole &&
         Evidence.End_ == AttemptEnd::Answered;
}

} // namespace

CrashVerdict CrashGuard::verdict(std::uint64_t Fingerprint,
                                 TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found == Suspicions_.end())
    return CrashVerdict::Run;
  auto const &Known = Found->second;
  if (isRefused(Known, Now))
    return CrashVerdict::Refuse;
  if (Policy_.MostSharedCrashes_)
    return CrashVerdict::Run;
  if (std::none_of(Known.begin(), Known.end(), [&](auto const &Entry) {
        return counts(Entry.second, Now);
      }))
    return CrashVerdict::Run;
  if (isRunning(Fingerprint) || awaitsJudgement(Known, Now))
    return CrashVerdict::Wait;
  return CrashVerdict::RunAlone;
}

std::optional<TimePoint> CrashGuard::refusedUntil(std::uint64_t Fingerprint,
                                                  TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found == Suspicions_.end())
    return std::nullopt;
  return sharedRefusalEnd(Found->second, Now);
}

std::set<ServerId> CrashGuard::brokenOffOn(std::uint64_t Fingerprint,
                                           TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::set<ServerId> Servers;
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found == Suspicions_.end())
    return Servers;
  for (auto const &[Name, One] : Found->second)
    if (counts(One, Now))
      Servers.insert(One.Server_);
  return Servers;
}

bool CrashGuard::isWitness(ServerId const &Server, ServerId const &Other,
                           TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  for (auto const &[Fingerprint, Known] : Suspicions_) {
    bool IsOnServer = false;
    bool IsOnOther = false;
    for (auto const &[Name, One] : Known) {
      if (One.Server_ == Other && Now - One.At_ > ServersGoTogether)
        return false;
      IsOnServer |= One.Server_ == Server;
      IsOnOther |= One.Server_ == Other;
    }
    if (IsOnServer && IsOnOther)
      return false;
  }
  return true;
}

void CrashGuard::onStarted(std::uint64_t Fingerprint, ServerId const &Server,
                           Company Beside) {
  std::lock_guard const Lock(Mutex_);
  auto &Counts = Running_[Server][Fingerprint];
  ++(Beside == Company::Alone ? Counts.Alone_ : Counts.Shared_);
}

std::vector<CrashReport> CrashGuard::onEnded(std::uint64_t Fingerprint,
                                             ServerId const &Server,
                                             AttemptEvidence const &Evidence,
                                             TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Ran = endAttempt(Fingerprint, Server);
  if (isWhole(Evidence)) {
    if (Policy_.MostSharedCrashes_)
      rememberAnswer(Fingerprint, Now);
    return clear(Fingerprint, Now);
  }
  auto const Reclaim = Reclaimed_.find(Server);
  if (!mayBeCrash(Evidence) || !Ran || wasAnswered(Fingerprint, Now) ||
      (Reclaim != Reclaimed_.end() && Now - Reclaim->second < Expiry))
    return {};
  Incident const Seen{Server, CrashEvidence::BrokenOff, Now, *Ran};
  return {addIncident(Fingerprint, Seen, Now)};
}

std::vector<CrashReport> CrashGuard::onJudged(BackendServer const &Server,
                                              BreakCause Cause, TimePoint Now) {
  if (Cause == BreakCause::Crash)
    return onCrash(Server, Now);
  std::lock_guard const Lock(Mutex_);
  auto const Evidence = Cause == BreakCause::MachineLost
                            ? CrashEvidence::ServerLost
                            : CrashEvidence::Cleared;
  return settleBreaks(Server.Id_, Evidence, Now);
}

std::vector<CrashReport> CrashGuard::onCrash(BackendServer const &Server,
                                             TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  if (isInReclaim(Server, Now))
    return settleBreaks(Server.Id_, CrashEvidence::Cleared, Now);
  auto Reports = settleBreaks(Server.Id_, CrashEvidence::Crashed, Now);
  auto const Others = crashRunning(Server.Id_, Now);
  Reports.insert(Reports.end(), Others.begin(), Others.end());
  return Reports;
}

void CrashGuard::onReclaim(BackendServer const &Server, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  LastReclaim_[Server.DataCentre_] = Now;
  Reclaimed_[Server.Id_] = Now;
  for (auto &[Fingerprint, Known] : Suspicions_)
    for (auto &[Name, One] : Known)
      if (One.Server_ == Server.Id_ && Now - One.At_ <= ReclaimWave)
        One.Evidence_ = CrashEvidence::Cleared;
}

std::vector<CrashReport> CrashGuard::reports(TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Reports;
  for (auto const &[Fingerprint, Known] : Suspicions_)
    addReports(Fingerprint, Known, Now, Reports);
  return Reports;
}

std::vector<CrashReport> CrashGuard::reportsOf(std::uint64_t Fingerprint,
                                               TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Reports;
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found != Suspicions_.end())
    addReports(Fingerprint, Found->second, Now, Reports);
  return Reports;
}

void CrashGuard::merge(std::vector<CrashReport> const &Reports, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  for (auto const &Report : Reports) {
    auto const At = Now - std::max(Report.Age_, Duration::zero());
    auto &One = incidentsOf(Report.Fingerprint_)
                    .try_emplace(Report.Incident_,
                                 Incident{Report.Server_, Report.Evidence_, At,
                                          Company::Shared})
                    .first->second;
    One.Evidence_ = std::max(One.Evidence_, Report.Evidence_);
    One.At_ = std::min(One.At_, At);
  }
}

void CrashGuard::expire(TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  for (auto &[Fingerprint, Known] : Suspicions_)
    std::erase_if(Known, [&](auto const &Entry) {
      return Now - Entry.second.At_ >= Expiry;
    });
  std::erase_if(Suspicions_,
                [](auto const &Entry) { return Entry.second.empty(); });
  std::erase_if(Reclaimed_, [&](auto const &Entry) {
    return Now - Entry.second >= Expiry;
  });
}

void CrashGuard::addReports(std::uint64_t Fingerprint, Incidents const &Known,
                            TimePoint Now, std::vector<CrashReport> &Into) {
  for (auto const &[Name, One] : Known)
    if (Now - One.At_ < Expiry)
      Into.push_back(
          {Name, Fingerprint, One.Server_, One.Evidence_, Now - One.At_});
}

bool CrashGuard::counts(Incident const &One, TimePoint Now) const {
  return One.Evidence_ != CrashEvidence::Cleared && Now - One.At_ < Expiry;
}

bool CrashGuard::isRunning(std::uint64_t Fingerprint) const {
  return std::any_of(Running_.begin(), Running_.end(), [&](auto const &Entry) {
    return Entry.second.contains(Fingerprint);
  });
}

bool CrashGuard::isRefused(Incidents const &Known, TimePoint Now) const {
  return Policy_.MostSharedCrashes_ ? sharedRefusalEnd(Known, Now).has_value()
                                    : hasCrashedAlone(Known, Now);
}

/// When fewer crashed servers count than the policy asks for; nothing when they
/// are too few now. Copies that broke off on one server are one crash.
std::optional<TimePoint> CrashGuard::sharedRefusalEnd(Incidents const &Known,
                                                      TimePoint Now) const {
  if (!Policy_.MostSharedCrashes_)
    return std::nullopt;
  std::map<ServerId, TimePoint> Crashes;
  for (auto const &[Name, One] : Known)
    if (counts(One, Now)) {
      auto &At = Crashes.try_emplace(One.Server_, One.At_).first->second;
      At = std::max(At, One.At_);
    }
  if (Crashes.size() < *Policy_.MostSharedCrashes_)
    return std::nullopt;
  std::vector<TimePoint> Times;
  for (auto const &[Server, At] : Crashes)
    Times.push_back(At);
  auto const Deciding =
      Times.end() - static_cast<std::ptrdiff_t>(*Policy_.MostSharedCrashes_);
  std::nth_element(Times.begin(), Deciding, Times.end());
  return *Deciding + Expiry;
}

/// The content's incidents. When there are too many contents, the one that
/// broke off longest ago is forgotten.
CrashGuard::Incidents &CrashGuard::incidentsOf(std::uint64_t Fingerprint) {
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found != Suspicions_.end())
    return Found->second;
  auto const LastBreak = [](auto const &Entry) {
    auto Last = TimePoint::min();
    for (auto const &[Name, One] : Entry.second)
      Last = std::max(Last, One.At_);
    return Last;
  };
  if (Suspicions_.size() >= MostContents)
    Suspicions_.erase(
        std::min_element(Suspicions_.begin(), Suspicions_.end(),
                         [&](auto const &Left, auto const &Right) {
                           return LastBreak(Left) < LastBreak(Right);
                         }));
  return Suspicions_[Fingerprint];
}

void CrashGuard::rememberAnswer(std::uint64_t Fingerprint, TimePoint Now) {
  Answered_[Fingerprint] = Now;
  AnswersInOrder_.emplace_back(Now, Fingerprint);
  while (AnswersInOrder_.size() > MostAnswers ||
         Now - AnswersInOrder_.front().first >= AnswerCounts) {
    auto const [At, Oldest] = AnswersInOrder_.front();
    AnswersInOrder_.pop_front();
    auto const Found = Answered_.find(Oldest);
    if (Found != Answered_.end() && Found->second == At)
      Answered_.erase(Found);
  }
}

bool CrashGuard::wasAnswered(std::uint64_t Fingerprint, TimePoint Now) const {
  auto const Found = Answered_.find(Fingerprint);
  return Found != Answered_.end() && Now - Found->second < AnswerCounts;
}

/// A content broke off, and later or elsewhere a server crashed under it alone.
bool CrashGuard::hasCrashedAlone(Incidents const &Known, TimePoint Now) const {
  for (auto const &[Name, Alone] : Known) {
    if (Alone.Evidence_ != CrashEvidence::CrashedAlone || !counts(Alone, Now))
      continue;
    for (auto const &[OtherName, Other] : Known)
      if (counts(Other, Now) &&
          (Other.Server_ != Alone.Server_ || Other.At_ < Alone.At_))
        return true;
  }
  return false;
}

bool CrashGuard::awaitsJudgement(Incidents const &Known, TimePoint Now) const {
  return std::any_of(Known.begin(), Known.end(), [&](auto const &Entry) {
    return Entry.second.Evidence_ == CrashEvidence::BrokenOff &&
           Now - Entry.second.At_ < JudgementTime;
  });
}

/// In which company it ran; nothing when no such attempt was running.
std::optional<Company> CrashGuard::endAttempt(std::uint64_t Fingerprint,
                                              ServerId const &Server) {
  auto const OnServer = Running_.find(Server);
  if (OnServer == Running_.end())
    return std::nullopt;
  auto const Found = OnServer->second.find(Fingerprint);
  if (Found == OnServer->second.end())
    return std::nullopt;
  auto &Counts = Found->second;
  auto const Ran = Counts.Alone_ > 0 ? Company::Alone : Company::Shared;
  --(Ran == Company::Alone ? Counts.Alone_ : Counts.Shared_);
  if (Counts.Alone_ + Counts.Shared_ == 0)
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

/// After a whole answer. A copy that ran elsewhere does not clear a content
/// under which a server crashed alone.
std::vector<CrashReport> CrashGuard::clear(std::uint64_t Fingerprint,
                                           TimePoint Now) {
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found == Suspicions_.end() ||
      (!Policy_.MostSharedCrashes_ && isRefused(Found->second, Now)))
    return {};
  std::vector<CrashReport> Reports;
  for (auto &[Name, One] : Found->second) {
    if (!counts(One, Now))
      continue;
    One.Evidence_ = CrashEvidence::Cleared;
    Reports.push_back(
        {Name, Fingerprint, One.Server_, One.Evidence_, Now - One.At_});
  }
  return Reports;
}

std::vector<CrashReport> CrashGuard::settleBreaks(ServerId const &Server,
                                                  CrashEvidence Evidence,
                                                  TimePoint Now) {
  std::vector<CrashReport> Reports;
  for (auto &[Fingerprint, Known] : Suspicions_) {
    for (auto &[Name, One] : Known) {
      if (One.Server_ != Server || One.Evidence_ != CrashEvidence::BrokenOff)
        continue;
      One.Evidence_ = Evidence;
      if (Evidence == CrashEvidence::Crashed && One.Company_ == Company::Alone)
        One.Evidence_ = CrashEvidence::CrashedAlone;
      Reports.push_back(
          {Name, Fingerprint, Server, One.Evidence_, Now - One.At_});
    }
  }
  return Reports;
}

/// Attempts on a crashed server whose broken connection is still to be seen.
/// They are taken out, so that the sight of it does not count again.
std::vector<CrashReport> CrashGuard::crashRunning(ServerId const &Server,
                                                  TimePoint Now) {
  std::vector<CrashReport> Reports;
  auto const Found = Running_.find(Server);
  if (Found == Running_.end())
    return Reports;
  for (auto const &[Fingerprint, Counts] : Found->second) {
    auto const IsAlone = Counts.Alone_ > 0;
    Incident const Seen{
        Server, IsAlone ? CrashEvidence::CrashedAlone : CrashEvidence::Crashed,
        Now, IsAlone ? Company::Alone : Company::Shared};
    Reports.push_back(addIncident(Fingerprint, Seen, Now));
  }
  Running_.erase(Found);
  return Reports;
}

bool CrashGuard::isInReclaim(BackendServer const &Server, TimePoint Now) const {
  auto const Found = LastReclaim_.find(Server.DataCentre_);
  return Found != LastReclaim_.end() && Now - Found->second <= ReclaimWave;
}

} // namespace laburnum
