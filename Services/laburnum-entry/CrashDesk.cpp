#include "CrashDesk.h"

namespace laburnum {

namespace {

constexpr std::chrono::seconds Period{1};

} // namespace

CrashDesk::CrashDesk(CrashParts Parts, EntryInstance const &Self)
    : Parts_(Parts), News_(Self, Parts.Guard_),
      Records_(std::make_shared<CrashRecords>(
          Parts.Store_,
          [this](std::vector<CrashReport> const &Reports) {
            Parts_.Log_.write(
                LogLine("crashes_restored").add("reports", Reports.size()));
            News_.restore(Reports, readBootClock());
          })),
      Timer_(Parts.Context_) {}

void CrashDesk::start(std::shared_ptr<PeerNetwork> Peers) {
  Peers_ = std::move(Peers);
  tick();
}

void CrashDesk::setMembers(std::vector<Member> const &Members) {
  send(News_.setMembers(Members, readBootClock()));
}

void CrashDesk::onLocalReports(std::vector<CrashReport> const &Reports) {
  send(News_.onLocalReports(Reports, readBootClock()));
}

void CrashDesk::onPeer(CrashReports const &Heard) {
  send(News_.onPeer(Heard, readBootClock()));
}

void CrashDesk::send(std::vector<SendToPeer> const &News) {
  if (!Peers_)
    return;
  for (auto const &One : News)
    Peers_->send(One);
}

void CrashDesk::tick() {
  auto const Now = readBootClock();
  auto const TimeOfDay = Parts_.Clock_.read(Now);
  send(News_.onTimePassed(Now));
  Records_->save(News_.takeUnsaved(), TimeOfDay);
  Records_->tick(TimeOfDay, Now);
  Timer_.expires_after(Period);
  Timer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      tick();
  });
}

} // namespace laburnum
