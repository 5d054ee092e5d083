#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace laburnum {

/// A fault that calls meet while it is switched on. The faults stale_reads and
/// restore act on StandinStore itself.
enum class StandinFault {
  Outage,           ///< 503; nothing takes effect.
  Slow,             ///< The call is held for the fault's delay first.
  LoseWriteAnswers, ///< A put takes effect, then the connection closes.
  LoseWrites,       ///< The connection closes instead of the put.
  WatchGap,         ///< A watch is answered at once with a gap.
  RefuseStarts,     ///< Starts are refused for lack of capacity.
};

std::optional<StandinFault> standinFaultNamed(std::string const &Name);

/// Which faults are on. Thread-safe.
class StandinFaults {
public:
  /// Count calls meet the fault, or with 0 all until it is switched off.
  void switchOn(StandinFault Fault, std::uint32_t Count, Duration Delay);
  void switchOff(StandinFault Fault);

  /// Whether this call meets the fault, which is counted.
  bool meets(StandinFault Fault);

  /// Holds the call while it meets Slow. stop() ends the wait.
  void hold();
  void stop();

private:
  struct Setting {
    std::uint32_t Left_ = 0; ///< 0 means without end.
    Duration Delay_{};
  };

  /// The setting that this call meets, counted. The caller holds the lock.
  std::optional<Setting> take(StandinFault Fault);

  std::mutex Mutex_; ///< Guards all below.
  std::condition_variable Stopped_;
  std::map<StandinFault, Setting> On_;
  bool IsStopped_ = false;
};

} // namespace laburnum
