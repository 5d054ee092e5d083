#include "CrashGuardTasks.h"

namespace laburnum {

namespace {

constexpr std::chrono::seconds Period{1};

} // namespace

CrashGuardTasks::CrashGuardTasks(CrashGuardDependencies Dependencies,
                                 EntryInstance const &Self)
    : Dependencies_(Dependencies), Dissemination_(Self, Dependencies.Guard_),
      Records_(std::make_shared<CrashRecords>(
          Dependencies.Store_,
          [this](std::vector<CrashReport> const &Reports) {
            Dependencies_.Log_.write(
                LogLine("crashes_restored").add("reports", Reports.size()));
            Dissemination_.restore(Reports, readBootClock());
            logChanges(Reports, "store");
          })),
      Timer_(Dependencies.Context_) {}

void CrashGuardTasks::start(std::shared_ptr<PeerNetwork> Peers) {
  Peers_ = std::move(Peers);
  tick();
}

void CrashGuardTasks::setMembers(std::vector<Member> const &Members) {
  send(Dissemination_.setMembers(Members, readBootClock()));
}

void CrashGuardTasks::onLocalReports(std::vector<CrashReport> const &Reports) {
  send(Dissemination_.onLocalReports(Reports, readBootClock()));
  logChanges(Reports, "local");
}

void CrashGuardTasks::onPeer(CrashReports const &Received) {
  send(Dissemination_.onPeer(Received, readBootClock()));
  logChanges(Received.Reports_, "peer");
}

void CrashGuardTasks::logChanges(std::vector<CrashReport> const &Reports,
                                 std::string_view Source) {
  auto const Now = readBootClock();
  for (auto const &Report : Reports) {
    auto const Fingerprint = Report.Fingerprint_;
    bool const IsSuspect =
        Dependencies_.Guard_.verdict(Fingerprint, Now) == CrashVerdict::Refuse;
    if (IsSuspect == LoggedSuspects_.contains(Fingerprint))
      continue;
    if (IsSuspect)
      LoggedSuspects_.insert(Fingerprint);
    else
      LoggedSuspects_.erase(Fingerprint);
    Dependencies_.Log_.write(
        LogLine("crash_suspect")
            .addHash("fingerprint", Fingerprint)
            .add("outcome", IsSuspect ? "suspected" : "cleared")
            .add("crashed_servers",
                 Dependencies_.Guard_.serversBrokenOffOn(Fingerprint, Now)
                     .size())
            .add("source", Source));
  }
}

void CrashGuardTasks::send(std::vector<SendToPeer> const &Messages) {
  if (!Peers_)
    return;
  for (auto const &One : Messages)
    Peers_->send(One);
}

void CrashGuardTasks::tick() {
  auto const Now = readBootClock();
  auto const TimeOfDay = Dependencies_.Clock_.read(Now);
  send(Dissemination_.onTimePassed(Now));
  Records_->save(Dissemination_.takeUnsaved(Now), TimeOfDay);
  Records_->tick(TimeOfDay, Now);
  std::erase_if(LoggedSuspects_, [&](std::uint64_t Fingerprint) {
    return Dependencies_.Guard_.verdict(Fingerprint, Now) !=
           CrashVerdict::Refuse;
  });
  Timer_.expires_after(Period);
  Timer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      tick();
  });
}

} // namespace laburnum
