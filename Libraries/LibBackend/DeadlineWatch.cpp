#include <LibBackend/DeadlineWatch.h>

#include <algorithm>

namespace laburnum {

/// The longest wait of the thread when no deadline is near.
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
  Entries_[Added] = Entry{Deadline, std::move(Interrupt), false};
  Changed_.notify_all();
  return Added;
}

void DeadlineWatch::move(Ticket Watched, TimePoint Deadline) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Entries_.find(Watched);
  if (Found == Entries_.end())
    return;
  bool const IsEarlier = Deadline < Found->second.Deadline_;
  Found->second.Deadline_ = Deadline;
  // The thread wakes at the old deadline anyway and reads the later one then.
  if (IsEarlier)
    Changed_.notify_all();
}

bool DeadlineWatch::remove(Ticket Watched) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Entries_.find(Watched);
  if (Found == Entries_.end())
    return false;
  bool const HasFired = Found->second.HasFired_;
  Entries_.erase(Found);
  return HasFired;
}

void DeadlineWatch::run() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_)
    Changed_.wait_until(Lock, fireDue(readClock()));
}

TimePoint DeadlineWatch::fireDue(TimePoint Now) {
  TimePoint Next = Now + IdleWait;
  for (auto &[Watched, One] : Entries_) {
    if (One.HasFired_)
      continue;
    if (One.Deadline_ > Now) {
      Next = std::min(Next, One.Deadline_);
      continue;
    }
    One.HasFired_ = true;
    One.Interrupt_();
  }
  return Next;
}

} // namespace laburnum
