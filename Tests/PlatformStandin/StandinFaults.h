#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace laburnum {

/// A fault that applies to calls while it is enabled. The faults stale_reads
/// and restore act on StandinStore directly.
enum class StandinFault {
  Outage,           ///< 503; nothing takes effect.
  Slow,             ///< The call is first delayed by the fault's delay.
  LoseWriteAnswers, ///< A put takes effect, then the connection closes.
  LoseWrites,       ///< The connection closes instead of the put.
  WatchGap,         ///< A watch reports a gap at once.
  RefuseStarts,     ///< Starts are refused for lack of capacity.
};

std::optional<StandinFault> standinFaultNamed(std::string const &Name);

/// The enabled faults. Thread-safe.
class StandinFaults {
public:
  /// The fault applies to Count calls, or with 0 to all until it is switched
  /// off.
  void switchOn(StandinFault Fault, std::uint32_t Count, Duration Delay);
  void switchOff(StandinFault Fault);

  /// Whether the fault applies to this call, which is counted against the
  /// fault's Count.
  bool appliesToCall(StandinFault Fault);

  /// Delays the call if Slow applies to it. stop() ends the wait.
  void delayCall();
  void stop();

private:
  struct Setting {
    std::uint32_t RemainingCalls_ = 0; ///< 0 means unlimited.
    Duration Delay_{};
  };

  /// The setting that applies to this call, which is counted. The caller holds
  /// the lock.
  std::optional<Setting> consume(StandinFault Fault);

  std::mutex Mutex_; ///< Guards all members below.
  std::condition_variable Stopped_;
  std::map<StandinFault, Setting> ActiveFaults_;
  bool IsStopped_ = false;
};

} // namespace laburnum
