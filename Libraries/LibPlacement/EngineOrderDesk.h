#pragma once

#include <LibBackend/FencedOrder.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>
#include <LibPlacement/LeaseHolder.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnum {

struct EngineOrderSettings {
  /// From handing an order to the network until no engine can still take it.
  Duration LongestFlight_ = std::chrono::seconds(3);
  Duration RetryPause_ = std::chrono::seconds(5);
  /// What the weight store bears of all engines together.
  double LoadsPerSecond_ = 1.0;

  auto operator<=>(EngineOrderSettings const &) const = default;
};

/// An order that may be sent until SendBefore_.
struct DueEngineOrder {
  BackendServer Server_;
  FencedOrder Order_;
  TimePoint SendBefore_;

  auto operator<=>(DueEngineOrder const &) const = default;
};

/// Decides which orders the engines get, and when they may be given. All state
/// is asserted anew under each new lease, since an order of an older holder
/// may have arrived last. An engine that ignores fencing numbers gets an order
/// only while the lease outlasts the order's longest flight, and under a new
/// lease only after the orders of the holder before have landed.
class EngineOrderDesk {
public:
  explicit EngineOrderDesk(EngineOrderSettings Settings)
      : Settings_(Settings) {}

  /// The model servers that take work.
  void setServers(std::vector<BackendServer> Servers);

  /// The orders to send now under the lease.
  std::vector<DueEngineOrder> due(HeldLease const &Lease, TimePoint Now);

  /// How an order that due() gave ended; Fenced does not come here.
  void ended(std::string const &OrderId, EngineOrderOutcome Outcome,
             TimePoint Now);

private:
  struct Progress {
    std::string OrderId_; ///< As last sent.
    bool IsDone_ = false;
    bool IsAwaited_ = false;
    TimePoint NotBefore_{};
  };
  using ProgressKey = std::pair<ServerId, EngineOrderKind>;

  void beginReign(HeldLease const &Lease);
  bool takeLoad(TimePoint Now);
  std::optional<DueEngineOrder> next(BackendServer const &Server,
                                     FencedOrder Wanted, HeldLease const &Lease,
                                     TimePoint Now);

  EngineOrderSettings Settings_;
  std::vector<BackendServer> Servers_;
  std::map<ProgressKey, Progress> Progress_;
  std::uint64_t Fencing_ = 0;
  TimePoint NextLoad_{};
};

} // namespace laburnum
