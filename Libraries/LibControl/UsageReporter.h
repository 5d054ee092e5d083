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

/// The counts of one incarnation of an instance in its last windows.
struct UsageRecord {
  std::map<std::int64_t, UsageCounts> Windows_;

  auto operator<=>(UsageRecord const &) const = default;
};

/// Whether this instance can reach every other one.
enum class PeerConnectivity { Full, Partial };

std::string encodeUsage(UsageRecord const &Record);
/// Returns std::nullopt if the text is not such a record.
std::optional<UsageRecord> decodeUsage(std::string const &Text);

/// Reports the usage of each window exactly once. Every instance sends its
/// counts to the others; one that cannot reach all of them writes its counts to
/// the store after the window has ended. The holder of the lease adds the
/// counts up, settles the sum in the store by a conditional write and reports
/// the settled sum. A repeated report of the window, also by a previous holder
/// that was paused, therefore carries the same counts.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
  struct Settings {
    std::string Incarnation_; ///< Name of this incarnation in the store.
    Duration Due_{}; ///< Time from a window's end until its report is due.
  };
  using Log = std::function<void(std::int64_t Window, std::string const &Step,
                                 std::string const &Detail)>;
  using FencedOut = std::function<void()>;

  /// The store, the duties and the counter have to outlive the reporter.
  UsageReporter(AsyncObjectStore &Store, FencedPlatformApi &Duties,
                UsageCounter &Counter, Settings Settings, Log Log,
                FencedOut FencedOut);

  /// To be called a few times a second. Fence is set while this instance
  /// holds the lease.
  void tick(std::optional<Fence> const &Fence, Duration MedianTime);
  /// Counts of a peer's incarnation so far, received at MedianTime.
  void onPeer(std::string const &Incarnation,
              std::vector<WindowUsage> const &Usage, Duration MedianTime);
  /// Sets whether this instance's reports reach every other instance.
  void setConnectivity(PeerConnectivity Connectivity) {
    Connectivity_ = Connectivity;
  }
  /// The store was restored from an older copy: windows may have been reported
  /// of which it knows nothing. The lease holder, who knows, settles them
  /// again.
  void onStoreRestored();
  /// Writes all counts so far to the store before the process exits.
  void publishAll(std::function<void()> Done);

private:
  /// Records by the name of the incarnation that counted them.
  using IncarnationRecords = std::map<std::string, UsageRecord>;

  /// The settled counts and the version of their object in the store.
  struct Settled {
    UsageRecord Record_;
    Version Version_ = 0;
    StoreEra Era_ = 0;
  };

  /// Counts received from one incarnation of a peer.
  struct ReportedUsage {
    UsageRecord Record_;
    Duration At_{};
  };

  void publish(Duration MedianTime);
  void collect(std::int64_t Window, Duration MedianTime);
  void add(std::int64_t Window, IncarnationRecords const &Listed,
           Duration MedianTime);
  /// Merges in the counts received from peers and those of this instance.
  IncarnationRecords merge(IncarnationRecords IncarnationRecords) const;
  bool isReportPending(std::string const &Incarnation,
                       UsageRecord const &Record, std::int64_t Window) const;
  void settle(std::int64_t Window, UsageCounts Counts);
  void settleIn(Settled Known, std::int64_t Window, UsageCounts Counts);
  static Settled settledFrom(StoredObject const &Object);
  bool isComplete(Settled const &Known) const;
  void settleAgain();
  /// Writes the record with all that this instance has settled.
  void write(Settled Known, std::function<void()> Done);
  void report(std::int64_t Window, UsageCounts const &Counts);
  void finish(std::int64_t Window, std::string const &Step,
              std::string const &Detail);
  std::optional<std::int64_t> nextWindow(Duration MedianTime) const;

  AsyncObjectStore &Store_;
  FencedPlatformApi &Duties_;
  UsageCounter &Counter_;
  Settings Settings_;
  Log Log_;
  FencedOut OnFencedOut_;
  std::optional<Fence> Fence_;
  std::map<std::string, ReportedUsage> Peers_;
  std::optional<Settled> Settled_; ///< As last written by this instance.
  UsageRecord OwnSettled_;         ///< What this instance has settled.
  std::int64_t FirstDue_ = 0;      ///< Earlier windows may have been reported.
  PeerConnectivity Connectivity_ = PeerConnectivity::Partial;
  std::int64_t Published_ = -1; ///< The last window written to the store.
  std::int64_t Reported_ = -1;  ///< The last window whose report was accepted.
  /// The era of the store in which no reported window can be missing.
  std::optional<StoreEra> CompleteIn_;
  bool MustSettleAgain_ = false;
  bool IsPublishing_ = false;
  bool IsReporting_ = false;
  Duration NotBefore_{}; ///< After a failed step.
  Duration LastTick_{};
};

} // namespace laburnum
