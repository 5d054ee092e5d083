#include <LibServing/CrashGuard.h>

#include <algorithm>

namespace laburnum {

namespace {

/// How long a crash counts.
constexpr Duration Expiry = std::chrono::minutes(10);
/// How long before a crash is seen its broken connections may be.
constexpr Duration BreakToCrash = std::chrono::seconds(5);
/// How long after a notice a crash in its data centre is part of the reclaim.
constexpr Duration ReclaimWave = std::chrono::seconds(60);

bool mayBeCrash(AttemptEvidence const &Evidence) {
  return Evidence.End_ == AttemptEnd::ConnectionFailed &&
         Evidence.Progress_ >= AttemptProgress::RequestSent;
}

} // namespace

CrashVerdict CrashGuard::verdict(std::uint64_t Fingerprint,
                                 TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  auto const Crashes = countingCrashes(Fingerprint, Now);
  if (Crashes >= 2)
    return CrashVerdict::Refuse;
  if (Crashes == 0)
    return CrashVerdict::Run;
  return isUnderTrial(Fingerprint, Now) ? CrashVerdict::Wait
                                        : CrashVerdict::RunAlone;
}

void CrashGuard::onStarted(std::uint64_t Fingerprint, ServerId const &Server) {
  std::lock_guard const Lock(Mutex_);
  Running_[Server].insert(Fingerprint);
}

void CrashGuard::onEnded(std::uint64_t Fingerprint, ServerId const &Server,
                         AttemptEvidence const &Evidence, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Running_.find(Server);
  if (Found != Running_.end()) {
    auto const One = Found->second.find(Fingerprint);
    if (One != Found->second.end())
      Found->second.erase(One);
    if (Found->second.empty())
      Running_.erase(Found);
  }
  if (mayBeCrash(Evidence))
    Broken_[Server].push_back({Fingerprint, Now});
  auto const Suspected = Suspicions_.find(Fingerprint);
  bool const IsWhole = Evidence.Progress_ == AttemptProgress::AnswerWhole &&
                       Evidence.End_ == AttemptEnd::Answered;
  // A copy that still ran elsewhere does not clear one that is refused already.
  if (!IsWhole || Suspected == Suspicions_.end() ||
      countingCrashes(Fingerprint, Now) != 1)
    return;
  Suspected->second.Crashes_.clear();
  Suspected->second.ClearedAt_ = Now;
}

std::vector<CrashReport> CrashGuard::onCrash(BackendServer const &Server,
                                             TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Victims = takeVictims(Server.Id_, Now);
  std::vector<CrashReport> Reports;
  if (isInReclaim(Server, Now))
    return Reports;
  for (auto const Fingerprint : Victims) {
    addCrash(Fingerprint, Server.Id_, Now);
    Reports.push_back({Fingerprint, Server.Id_, Duration::zero()});
  }
  return Reports;
}

void CrashGuard::onReclaim(BackendServer const &Server, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  LastReclaim_[Server.DataCentre_] = Now;
  for (auto &[Fingerprint, Suspected] : Suspicions_) {
    auto const Found = Suspected.Crashes_.find(Server.Id_);
    if (Found != Suspected.Crashes_.end() && Now - Found->second <= ReclaimWave)
      Suspected.Crashes_.erase(Found);
  }
}

std::vector<CrashReport> CrashGuard::reports(TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  std::vector<CrashReport> Reports;
  for (auto const &[Fingerprint, Suspected] : Suspicions_)
    for (auto const &[Server, At] : Suspected.Crashes_)
      if (Now - At < Expiry)
        Reports.push_back({Fingerprint, Server, Now - At});
  return Reports;
}

void CrashGuard::merge(std::vector<CrashReport> const &Reports, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  for (auto const &Report : Reports)
    addCrash(Report.Fingerprint_, Report.Server_, Now - Report.Age_);
}

void CrashGuard::expire(TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  for (auto &[Fingerprint, Suspected] : Suspicions_)
    std::erase_if(Suspected.Crashes_, [&](auto const &Crash) {
      return Now - Crash.second >= Expiry;
    });
  std::erase_if(Suspicions_, [&](auto const &Entry) {
    auto const &Suspected = Entry.second;
    return Suspected.Crashes_.empty() && Suspected.ClearedAt_ + Expiry <= Now;
  });
  for (auto &[Server, Attempts] : Broken_)
    std::erase_if(Attempts, [&](BrokenAttempt const &One) {
      return Now - One.At_ > BreakToCrash;
    });
  std::erase_if(Broken_,
                [](auto const &Entry) { return Entry.second.empty(); });
}

std::size_t CrashGuard::countingCrashes(std::uint64_t Fingerprint,
                                        TimePoint Now) const {
  auto const Found = Suspicions_.find(Fingerprint);
  if (Found == Suspicions_.end())
    return 0;
  auto const &Crashes = Found->second.Crashes_;
  return static_cast<std::size_t>(
      std::count_if(Crashes.begin(), Crashes.end(), [&](auto const &Crash) {
        return Now - Crash.second < Expiry;
      }));
}

/// True while an attempt's end may still turn out to be a crash.
bool CrashGuard::isUnderTrial(std::uint64_t Fingerprint, TimePoint Now) const {
  for (auto const &[Server, Fingerprints] : Running_)
    if (Fingerprints.contains(Fingerprint))
      return true;
  for (auto const &[Server, Attempts] : Broken_)
    for (auto const &One : Attempts)
      if (One.Fingerprint_ == Fingerprint && Now - One.At_ <= BreakToCrash)
        return true;
  return false;
}

/// A crash from before the content was cleared, told late, changes nothing.
void CrashGuard::addCrash(std::uint64_t Fingerprint, ServerId const &Server,
                          TimePoint At) {
  auto &Suspected = Suspicions_[Fingerprint];
  if (At <= Suspected.ClearedAt_)
    return;
  auto &Last = Suspected.Crashes_.try_emplace(Server, At).first->second;
  Last = std::max(Last, At);
}

/// What ran on the server: each crash is counted once.
std::set<std::uint64_t> CrashGuard::takeVictims(ServerId const &Server,
                                                TimePoint Now) {
  std::set<std::uint64_t> Victims;
  if (auto const Found = Running_.find(Server); Found != Running_.end())
    Victims.insert(Found->second.begin(), Found->second.end());
  for (auto const &One : Broken_[Server])
    if (Now - One.At_ <= BreakToCrash)
      Victims.insert(One.Fingerprint_);
  Broken_.erase(Server);
  return Victims;
}

bool CrashGuard::isInReclaim(BackendServer const &Server, TimePoint Now) const {
  auto const Found = LastReclaim_.find(Server.DataCentre_);
  return Found != LastReclaim_.end() && Now - Found->second <= ReclaimWave;
}

} // namespace laburnum
