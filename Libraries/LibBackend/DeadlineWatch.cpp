#include <LibBackend/DeadlineWatch.h>

namespace laburnum {

/// Maximum wait of the thread when there is no deadline.
static constexpr Duration IdleWait = std::chrono::hours(1);

DeadlineWatch::DeadlineWatch() : Thread_([this] { run(); }) {}

DeadlineWatch::~DeadlineWatch() {
  {
    std::lock_guard const Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  Thread_.join();
}

DeadlineWatch::Ticket DeadlineWatch::add(TimePoint Deadline,
                                         std::function<void()> Interrupt) {
  std::lock_guard const Lock(Mutex_);
  auto const Added = NextTicket_++;
  Entries_[Added] = Entry{Deadline, Deadline, std::move(Interrupt), false};
  Checks_.insert({Deadline, Added});
  wakeBy(Deadline);
  return Added;
}

/// A later deadline leaves CheckAt_ unchanged: updating Checks_ at each token
/// of a stream would cost more than one superfluous check.
void DeadlineWatch::move(Ticket Watched, TimePoint Deadline) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Entries_.find(Watched);
  if (Found == Entries_.end())
    return;
  auto &Moved = Found->second;
  Moved.Deadline_ = Deadline;
  if (Moved.HasFired_ || Deadline >= Moved.CheckAt_)
    return;
  Checks_.erase({Moved.CheckAt_, Watched});
  Moved.CheckAt_ = Deadline;
  Checks_.insert({Deadline, Watched});
  wakeBy(Deadline);
}

bool DeadlineWatch::remove(Ticket Watched) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Entries_.find(Watched);
  if (Found == Entries_.end())
    return false;
  bool const HasFired = Found->second.HasFired_;
  Checks_.erase({Found->second.CheckAt_, Watched});
  Entries_.erase(Found);
  return HasFired;
}

/// Wakes the thread only if it would otherwise sleep past the deadline, since
/// most calls end long before their deadline.
void DeadlineWatch::wakeBy(TimePoint Deadline) {
  if (Deadline < WakesAt_)
    Changed_.notify_all();
}

void DeadlineWatch::run() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_) {
    WakesAt_ = fireDue(readClock());
    Changed_.wait_until(Lock, WakesAt_);
  }
}

TimePoint DeadlineWatch::fireDue(TimePoint Now) {
  while (!Checks_.empty() && Checks_.begin()->first <= Now) {
    auto const Watched = Checks_.begin()->second;
    Checks_.erase(Checks_.begin());
    auto &Due = Entries_.at(Watched);
    if (Due.Deadline_ > Now) {
      Due.CheckAt_ = Due.Deadline_;
      Checks_.insert({Due.CheckAt_, Watched});
      continue;
    }
    Due.HasFired_ = true;
    Due.Interrupt_();
  }
  return Checks_.empty() ? Now + IdleWait : Checks_.begin()->first;
}

} // namespace laburnum
