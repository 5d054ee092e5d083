#pragma once

#include "Oracle.h"
#include "Schedule.h"

#include <EntryProcess/EntryFleet.h>

#include <atomic>
#include <thread>
#include <vector>

namespace laburnum::soak {

struct RunSettings {
  std::uint64_t Seed_ = 1;
  Duration Length_ = std::chrono::seconds(30);
  unsigned Instances_ = 4;
  unsigned Servers_ = 8;
};

/// A soak test: a fleet of real processes, callers with persistent connections
/// and a schedule of faults.
class Run {
public:
  explicit Run(RunSettings Settings);

  /// Runs the test to its end and returns the violations found.
  std::vector<std::string> run();
  Oracle const &oracle() const { return Oracle_; }
  std::vector<Fault> const &schedule() const { return Schedule_; }

private:
  void call(std::size_t Instance);
  void inject(Fault const &One);
  void killInstance(Fault const &One);
  void stopInstance(Fault const &One);
  void freezeInstance(Fault const &One);
  void limitServer(Fault const &One);
  void endServer(std::size_t Number);
  void degradeStore(entry_process::StoreMode Mood, Duration Length);
  void checkProcesses();
  /// Runs Task on a new thread that is joined at the end.
  template <typename Function> void runOnThread(Function Task);

  RunSettings const Settings_;
  std::vector<Fault> const Schedule_;
  Oracle Oracle_;
  entry_process::EntryFleet Fleet_;
  std::atomic<bool> IsFinished_ = false;
  std::atomic<std::uint64_t> NextAttempt_ = 1;
  std::atomic<std::uint64_t> ConfigurationVersion_ = 1;
  std::vector<std::mutex> FaultMutexes_; ///< One fault per instance at a time.
  std::vector<std::thread> Threads_;
};

} // namespace laburnum::soak
