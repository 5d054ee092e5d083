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
}

void CrashGuardTasks::onPeer(CrashReports const &Received) {
  send(Dissemination_.onPeer(Received, readBootClock()));
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
  Records_->save(Dissemination_.takeUnsaved(), TimeOfDay);
  Records_->tick(TimeOfDay, Now);
  Timer_.expires_after(Period);
  Timer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      tick();
  });
}

} // namespace laburnum
