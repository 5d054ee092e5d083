#include "CpuQuota.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace laburnum::shape_soak {

namespace {

using std::chrono::milliseconds;

constexpr Duration Period = milliseconds(100);
constexpr Duration Interval = milliseconds(3);

/// Returns the processor time that all threads of the process have used.
Duration usedTime(pid_t Process) {
  std::error_code Failure;
  std::uint64_t Nanoseconds = 0;
  for (auto const &Task : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(Process) + "/task", Failure)) {
    std::uint64_t OfTask = 0;
    std::ifstream(Task.path() / "schedstat") >> OfTask;
    Nanoseconds += OfTask;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::nanoseconds(Nanoseconds));
}

} // namespace

CpuQuota::CpuQuota(double Share)
    : Allowed_(std::chrono::duration_cast<Duration>(Share * Period)) {
  if (Share > 0)
    Thread_ = std::thread([this] { run(); });
}

CpuQuota::~CpuQuota() {
  {
    std::lock_guard const Lock(Mutex_);
    IsEnding_ = true;
    Ending_.notify_all();
  }
  if (Thread_.joinable())
    Thread_.join();
}

void CpuQuota::add(pid_t Process) {
  std::lock_guard const Lock(Mutex_);
  Limited_[Process] = {readClock() + Period, usedTime(Process), {}, false};
}

void CpuQuota::remove(pid_t Process) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Limited_.find(Process);
  if (Found == Limited_.end())
    return;
  if (Found->second.IsStopped_)
    kill(Process, SIGCONT);
  Limited_.erase(Found);
}

std::uint64_t CpuQuota::stops() {
  std::lock_guard const Lock(Mutex_);
  return Stops_;
}

void CpuQuota::run() {
  std::unique_lock Lock(Mutex_);
  while (!Ending_.wait_for(Lock, Interval, [this] { return IsEnding_; }))
    for (auto &[Process, State] : Limited_)
      limit(Process, State, readClock());
}

void CpuQuota::limit(pid_t Process, Limited &State, TimePoint Now) {
  if (State.IsStopped_ && Now < State.PeriodEnd_)
    return;
  auto const Used = usedTime(Process);
  auto const OfPeriod = Used - State.UsedBefore_ + State.Debt_;
  if (Now >= State.PeriodEnd_) {
    State.Debt_ = std::max(OfPeriod - Allowed_, Duration::zero());
    State.UsedBefore_ = Used;
    State.PeriodEnd_ = std::max(State.PeriodEnd_ + Period, Now);
    if (State.IsStopped_ && State.Debt_ < Allowed_) {
      State.IsStopped_ = false;
      kill(Process, SIGCONT);
    }
    return;
  }
  if (OfPeriod < Allowed_)
    return;
  State.IsStopped_ = true;
  ++Stops_;
  kill(Process, SIGSTOP);
}

} // namespace laburnum::shape_soak
