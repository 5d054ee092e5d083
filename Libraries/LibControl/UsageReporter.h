#pragma once

#include <LibControl/UsageCounter.h>
#include <LibPeer/ConsumptionReport.h>
#include <LibPlatform/AsyncObjectStore.h>
#include <LibPlatform/FencedPlatformApi.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// What one life of an instance counted in its last windows.
struct UsageRecord {
  std::map<std::int64_t, UsageCounts> Windows_;

  auto operator<=>(UsageRecord const &) const = default;
};

/// Whether this instance is in contact with every other one.
enum class PeerReach { Whole, Partial };

std::string encodeUsage(UsageRecord const &Record);
/// Nothing when the text is not such a record.
std::optional<UsageRecord> decodeUsage(std::string const &Text);

/// Sees to it that the usage of each window is reported once. Every instance
/// tells the others its counts, and one that cannot reach them all writes them
/// to the store after a window has ended; the holder of the lease adds them up,
/// settles the sum in the store by a conditional write, and reports what is
/// settled there. Whoever reports the window again, also a holder that was
/// paused, reports the same counts.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
  struct Settings {
    std::string Life_; ///< Names this life of the instance in the store.
    Duration Due_{};   ///< From a window's end to when its report is due.
  };
  using Log = std::function<void(std::int64_t Window, std::string const &Step,
                                 std::string const &Detail)>;
  using FencedOut = std::function<void()>;

  /// The store, the duties and the counter outlive the reporter.
  UsageReporter(AsyncObjectStore &Store, FencedPlatformApi &Duties,
                UsageCounter &Counter, Settings Settings, Log Log,
                FencedOut FencedOut);

  /// To be called a few times a second. Fence is set while this instance
  /// holds the lease.
  void tick(std::optional<Fence> const &Fence, Duration TrueTime);
  /// What a peer's life has counted so far, heard at TrueTime.
  void onPeer(std::string const &Life, std::vector<WindowUsage> const &Usage,
              Duration TrueTime);
  /// Whether every other instance hears this one.
  void setReach(PeerReach Reach) { Reach_ = Reach; }
  /// Writes what was counted so far to the store, for a process that ends.
  void publishAll(std::function<void()> Done);

private:
  /// Records by the name of the life that they are about.
  using Lives = std::map<std::string, UsageRecord>;

  /// The settled counts as of one version of their object.
  struct Settled {
    UsageRecord Record_;
    Version Version_ = 0;
  };

  /// What peers have told of one life.
  struct Heard {
    UsageRecord Record_;
    Duration At_{};
  };

  void publish(Duration TrueTime);
  void collect(std::int64_t Window, Duration TrueTime);
  void add(std::int64_t Window, Lives const &Listed, Duration TrueTime);
  /// Adds what peers and this instance itself know of each life.
  Lives merge(Lives Lives) const;
  bool isAwaited(std::string const &Life, UsageRecord const &Record,
                 std::int64_t Window) const;
  void settle(std::int64_t Window, UsageCounts Counts);
  void settleIn(Settled Known, std::int64_t Window, UsageCounts Counts);
  void report(std::int64_t Window, UsageCounts const &Counts);
  void finish(std::int64_t Window, std::string const &Step,
              std::string const &Detail);
  std::optional<std::int64_t> nextWindow(Duration TrueTime) const;

  AsyncObjectStore &Store_;
  FencedPlatformApi &Duties_;
  UsageCounter &Counter_;
  Settings Settings_;
  Log Log_;
  FencedOut StepDown_;
  std::optional<Fence> Fence_;
  std::map<std::string, Heard> Peers_;
  std::optional<Settled> Settled_; ///< As this instance wrote it last.
  PeerReach Reach_ = PeerReach::Partial;
  std::int64_t Published_ = -1; ///< The last window written to the store.
  std::int64_t Reported_ = -1;  ///< The last window that was accepted.
  bool IsPublishing_ = false;
  bool IsReporting_ = false;
  Duration NotBefore_{}; ///< After a failed step.
  Duration LastTick_{};
};

} // namespace laburnum
