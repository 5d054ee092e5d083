#include "DutyDesk.h"

namespace laburnum {

namespace {

/// Longer than the span inside which holders must not take turns, so that a
/// holder which comes back is not the one before last.
constexpr std::chrono::seconds LeaseBeyondTurns{1};
constexpr std::chrono::milliseconds LeaseMargin{700};
constexpr std::chrono::milliseconds LeaseRenewal{1300};
constexpr std::chrono::milliseconds LeasePoll{1000};

lease::Settings leaseSettings(EntrySettings const &Settings,
                              InstanceId const &Life, std::uint64_t Seed) {
  lease::Settings Lease;
  Lease.Self_ = Life;
  Lease.Seed_ = Seed;
  Lease.Length_ = Settings.LeaseLength_ + LeaseBeyondTurns;
  Lease.Margin_ = LeaseMargin;
  Lease.RenewPeriod_ = LeaseRenewal;
  Lease.PollPeriod_ = LeasePoll;
  return Lease;
}

} // namespace

DutyDesk::DutyDesk(Parts Parts, InstanceId const &Life, std::uint64_t Seed)
    : Parts_(Parts),
      Lease_(std::make_shared<LeaseKeeper>(
          Parts.Store_, leaseSettings(Parts.Settings_, Life, Seed), readClock,
          [this](std::optional<HeldLease> const &Held) { onLease(Held); })),
      Reporter_(std::make_shared<UsageReporter>(
          Parts.Store_, Parts.Duties_, Parts.Usage_,
          UsageReporter::Settings{Life.text(), Parts.Settings_.UsageDue_},
          [this](std::int64_t Window, std::string const &Step,
                 std::string const &Detail) {
            Parts_.Log_.write(LogLine("usage")
                                  .add("window", Window)
                                  .add("step", Step)
                                  .add("detail", Detail));
          },
          [this] { Lease_->stepDown(readClock()); })) {}

std::optional<Fence> DutyDesk::fence(TimePoint Now) const {
  auto const Held = Lease_->held(Now);
  if (!Held)
    return std::nullopt;
  return Fence{Parts_.Settings_.Name_, Held->Fencing_};
}

void DutyDesk::tick(TimePoint Now, Duration TrueTime) {
  Lease_->tick(Now);
  Reporter_->tick(fence(Now), TrueTime);
}

void DutyDesk::setMembers(std::vector<Member> const &Members, TimePoint Now) {
  Lease_->setMembers(Members, Now);
}

void DutyDesk::onLease(std::optional<HeldLease> const &Held) {
  auto const Number = Held ? Held->Fencing_ : 0;
  if (Number == LastFence_)
    return;
  Parts_.Log_.write(LogLine(Held ? "lease_gained" : "lease_lost")
                        .add("fence", Held ? Number : LastFence_));
  LastFence_ = Number;
}

} // namespace laburnum
