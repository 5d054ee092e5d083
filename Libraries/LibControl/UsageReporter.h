#pragma once

#include <LibControl/UsageCounter.h>
#include <LibPlatform/AsyncObjectStore.h>
#include <LibPlatform/FencedDuties.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace laburnum {

/// What one life of an instance counted in its last windows.
struct UsageRecord {
  std::map<std::int64_t, UsageCounts> Windows_;

  auto operator<=>(UsageRecord const &) const = default;
};

std::string encodeUsage(UsageRecord const &Record);
/// Nothing when the text is not such a record.
std::optional<UsageRecord> decodeUsage(std::string const &Text);

/// Sees to it that the usage of each window is reported once. Every instance
/// writes its counts to the store after a window has ended; the holder of the
/// lease adds them up, settles the sum in the store by a conditional write, and
/// reports what is settled there. Whoever reports the window again, also a
/// holder that was paused, reports the same counts.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
  struct Settings {
    std::string Life_; ///< Names this life of the instance in the store.
    Duration Due_{};   ///< From a window's end to when its report is due.
  };
  using Log = std::function<void(std::int64_t Window, std::string const &Step,
                                 std::string const &Detail)>;
  using StepDown = std::function<void()>;

  /// The store, the duties and the counter outlive the reporter.
  UsageReporter(AsyncObjectStore &Store, FencedDuties &Duties,
                UsageCounter &Counter, Settings Settings, Log Log,
                StepDown StepDown);

  /// To be called a few times a second. Fence is set while this instance
  /// holds the lease.
  void tick(std::optional<Fence> const &Fence, Duration TrueTime);

private:
  void publish(Duration TrueTime);
  void collect(std::int64_t Window, Duration TrueTime);
  void add(std::int64_t Window, ObjectList const &Listed, Duration TrueTime);
  void settle(std::int64_t Window, UsageCounts Counts);
  void report(std::int64_t Window, UsageCounts const &Counts);
  void finish(std::int64_t Window, std::string const &Step,
              std::string const &Detail);
  std::optional<std::int64_t> nextWindow(Duration TrueTime) const;

  AsyncObjectStore &Store_;
  FencedDuties &Duties_;
  UsageCounter &Counter_;
  Settings Settings_;
  Log Log_;
  StepDown StepDown_;
  std::optional<Fence> Fence_;
  std::int64_t Published_ = -1; ///< The last window written to the store.
  std::int64_t Reported_ = -1;  ///< The last window that was accepted.
  bool IsPublishing_ = false;
  bool IsReporting_ = false;
  Duration NotBefore_{}; ///< After a failed step.
  Duration LastTick_{};
};

} // namespace laburnum
