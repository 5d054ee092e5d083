#include <LibControl/CrashReportDissemination.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace laburnum {

namespace {

/// Coordinators per content: two may be lost together without losing reports.
constexpr std::size_t CoordinatorsPerContent = 3;

/// Time before a changed suspicion is saved. Most sound contents are cleared
/// within it, and must not be refused after a restart of all instances.
constexpr Duration SettlingTime = std::chrono::milliseconds(500);

/// Time during which new reports are repeated every second.
constexpr Duration RepeatDuration = std::chrono::seconds(2);

std::set<std::uint64_t> contentsOf(std::vector<CrashReport> const &Reports) {
  std::set<std::uint64_t> Contents;
  for (auto const &Entry : Reports)
    Contents.insert(Entry.Fingerprint_);
  return Contents;
}

} // namespace

std::vector<SendToPeer>
CrashReportDissemination::setMembers(std::vector<Member> const &Members,
                                     TimePoint Now) {
  auto const Before = std::exchange(Live_, {});
  for (auto const &Entry : Members)
    if (Entry.Liveness_ == Liveness::Live)
      Live_.push_back(Entry.Instance_);
  if (Live_ == Before)
    return {};
  Guard_.setInstances(Live_.size());
  // The coordinators of a content may have changed with the members.
  for (auto const Fingerprint : contentsOf(Guard_.reports(Now))) {
    notifyCoordinators(Fingerprint, Now);
    announce(Fingerprint, Now);
  }
  auto const Refused = announced(Now);
  for (auto const &Entry : Live_)
    if (std::find(Before.begin(), Before.end(), Entry) == Before.end())
      enqueue(Entry, Refused);
  return takeMessages();
}

std::vector<SendToPeer> CrashReportDissemination::onLocalReports(
    std::vector<CrashReport> const &Reports, TimePoint Now) {
  for (auto const Fingerprint : contentsOf(Reports)) {
    RepeatUntil_[Fingerprint] = Now + RepeatDuration;
    notifyCoordinators(Fingerprint, Now);
    announce(Fingerprint, Now);
  }
  return takeMessages();
}

std::vector<SendToPeer>
CrashReportDissemination::onPeer(CrashReports const &Received, TimePoint Now) {
  auto const Cleared = Guard_.merge(Received.Reports_, Now);
  for (auto const Fingerprint : contentsOf(Received.Reports_))
    announce(Fingerprint, Now);
  return onLocalReports(Cleared, Now);
}

std::vector<SendToPeer> CrashReportDissemination::onTimePassed(TimePoint Now) {
  Guard_.expire(Now);
  std::erase_if(Announced_, [&](auto const &Entry) {
    return Guard_.reportsOf(Entry.first, Now).empty();
  });
  std::erase_if(RepeatUntil_,
                [&](auto const &Entry) { return Entry.second < Now; });
  std::erase_if(Saved_, [&](std::uint64_t Fingerprint) {
    return Guard_.reportsOf(Fingerprint, Now).empty();
  });
  for (auto const &[Fingerprint, Until] : RepeatUntil_) {
    notifyCoordinators(Fingerprint, Now);
    if (Announced_.contains(Fingerprint))
      notifyAll(Fingerprint, Now);
  }
  if (!Live_.empty())
    enqueue(Live_[NextMember_++ % Live_.size()], announced(Now));
  return takeMessages();
}

void CrashReportDissemination::restore(std::vector<CrashReport> const &Reports,
                                       TimePoint Now) {
  Guard_.merge(Reports, Now);
  // All instances read the store at their start: no notification is needed.
  for (auto const Fingerprint : contentsOf(Reports))
    if (auto const Crashes = suspectedCrashes(Fingerprint, Now); Crashes > 0) {
      Announced_[Fingerprint] = Crashes;
      Saved_.insert(Fingerprint);
    }
}

void CrashReportDissemination::onStoreRestored(TimePoint Now) {
  for (auto const &[Fingerprint, Crashes] : Announced_)
    if (Crashes > 0)
      Unsaved_.try_emplace(Fingerprint, Now);
}

std::vector<CrashReport> CrashReportDissemination::takeUnsaved(TimePoint Now) {
  std::vector<CrashReport> Reports;
  for (auto const &[Fingerprint, Since] : std::exchange(Unsaved_, {})) {
    if (Now - Since < SettlingTime) {
      Unsaved_[Fingerprint] = Since;
      continue;
    }
    bool const IsSuspect = suspectedCrashes(Fingerprint, Now) > 0;
    bool const WasSaved = Saved_.contains(Fingerprint);
    if (IsSuspect)
      Saved_.insert(Fingerprint);
    else
      Saved_.erase(Fingerprint);
    auto const Coordinators = coordinatorsOf(Fingerprint);
    if ((!IsSuspect && !WasSaved) || Coordinators.empty() ||
        Coordinators.front().Id_ != Self_.Id_)
      continue;
    auto const Added = Guard_.reportsOf(Fingerprint, Now);
    Reports.insert(Reports.end(), Added.begin(), Added.end());
  }
  return Reports;
}

std::size_t
CrashReportDissemination::suspectedCrashes(std::uint64_t Fingerprint,
                                           TimePoint Now) const {
  return Guard_.verdict(Fingerprint, Now) == CrashVerdict::Refuse
             ? Guard_.serversBrokenOffOn(Fingerprint, Now).size()
             : 0;
}

CrashReportDissemination::Coordinators
CrashReportDissemination::coordinatorsOf(std::uint64_t Fingerprint) const {
  auto Order =
      rendezvousOrder(std::to_string(Fingerprint), Live_,
                      [](EntryInstance const &Entry) -> std::string const & {
                        return Entry.Id_.text();
                      });
  if (Order.size() > CoordinatorsPerContent)
    Order.resize(CoordinatorsPerContent);
  return Order;
}

bool CrashReportDissemination::isCoordinator(Coordinators const &Among) const {
  return std::any_of(Among.begin(), Among.end(),
                     [&](auto const &Entry) { return Entry.Id_ == Self_.Id_; });
}

void CrashReportDissemination::notifyCoordinators(std::uint64_t Fingerprint,
                                                  TimePoint Now) {
  auto const Reports = Guard_.reportsOf(Fingerprint, Now);
  for (auto const &Coordinator : coordinatorsOf(Fingerprint))
    enqueue(Coordinator, Reports);
}

void CrashReportDissemination::announce(std::uint64_t Fingerprint,
                                        TimePoint Now) {
  auto const Crashes = suspectedCrashes(Fingerprint, Now);
  auto const Found = Announced_.find(Fingerprint);
  auto const Last = Found == Announced_.end() ? 0 : Found->second;
  if (Crashes == Last || !isCoordinator(coordinatorsOf(Fingerprint)))
    return;
  Announced_[Fingerprint] = Crashes;
  Unsaved_.try_emplace(Fingerprint, Now);
  RepeatUntil_[Fingerprint] = Now + RepeatDuration;
  notifyAll(Fingerprint, Now);
}

void CrashReportDissemination::notifyAll(std::uint64_t Fingerprint,
                                         TimePoint Now) {
  auto const Reports = Guard_.reportsOf(Fingerprint, Now);
  for (auto const &Entry : Live_)
    enqueue(Entry, Reports);
}

void CrashReportDissemination::enqueue(
    EntryInstance const &To, std::vector<CrashReport> const &Reports) {
  if (Reports.empty() || To.Id_ == Self_.Id_)
    return;
  auto &Waiting = Outbox_[To.Peers_];
  Waiting.insert(Waiting.end(), Reports.begin(), Reports.end());
}

std::vector<SendToPeer> CrashReportDissemination::takeMessages() {
  std::vector<SendToPeer> Messages;
  for (auto &[To, Reports] : Outbox_)
    Messages.push_back({To, CrashReports{std::move(Reports)}});
  Outbox_.clear();
  return Messages;
}

std::vector<CrashReport>
CrashReportDissemination::announced(TimePoint Now) const {
  std::vector<CrashReport> Reports;
  for (auto const &[Fingerprint, Last] : Announced_) {
    if (Last == 0)
      continue;
    auto const Added = Guard_.reportsOf(Fingerprint, Now);
    Reports.insert(Reports.end(), Added.begin(), Added.end());
  }
  return Reports;
}

} // namespace laburnum
