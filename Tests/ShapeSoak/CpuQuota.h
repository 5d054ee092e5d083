#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <sys/types.h>
#include <thread>

namespace laburnum::shape_soak {

/// Limits child processes to a share of a processor: one that has used its
/// share of a period is stopped until the period ends.
class CpuQuota {
public:
  /// Share of 0 limits nothing.
  explicit CpuQuota(double Share);
  ~CpuQuota();
  CpuQuota(CpuQuota const &) = delete;
  CpuQuota &operator=(CpuQuota const &) = delete;

  /// Begins to limit a process that runs.
  void add(pid_t Process);
  /// Ends the limit, before the process is waited for; it runs.
  void remove(pid_t Process);
  /// How often a process was stopped.
  std::uint64_t stops();

private:
  struct Limited {
    TimePoint PeriodEnd_;
    Duration UsedBefore_{}; ///< At the start of the period.
    Duration Debt_{};       ///< Used beyond the share of the period before.
    bool IsStopped_ = false;
  };

  void run();
  void limit(pid_t Process, Limited &State, TimePoint Now);

  Duration const Allowed_;
  std::mutex Mutex_;
  std::condition_variable Ending_;
  bool IsEnding_ = false;
  std::uint64_t Stops_ = 0;
  std::map<pid_t, Limited> Limited_;
  std::thread Thread_;
};

} // namespace laburnum::shape_soak
