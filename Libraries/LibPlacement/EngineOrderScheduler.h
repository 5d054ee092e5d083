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
  /// The longest time from handing an order to the network until no engine can
  /// still receive it.
  Duration MaxDeliveryDelay_ = std::chrono::seconds(3);
  Duration RetryPause_ = std::chrono::seconds(5);
  /// Limit on model loads of all engines together, for the weight store's sake.
  double LoadsPerSecond_ = 1.0;

  auto operator<=>(EngineOrderSettings const &) const = default;
};

/// An order to send, but only before SendBefore_.
struct DueEngineOrder {
  BackendServer Server_;
  FencedOrder Order_;
  TimePoint SendBefore_;

  auto operator<=>(DueEngineOrder const &) const = default;
};

/// Decides which orders are sent to the engines and when. Each new lease term
/// sends all state again, since an order of an earlier holder may have been
/// the last to arrive. An engine that ignores fencing numbers gets an order
/// only if the lease stays valid for the order's maximum delivery delay. Under
/// a new lease it gets its first order only after that delay has passed, when
/// no order of the previous holder can still arrive.
class EngineOrderScheduler {
public:
  explicit EngineOrderScheduler(EngineOrderSettings Settings)
      : Settings_(Settings) {}

  /// Replaces the set of model servers that accept work.
  void setServers(std::vector<BackendServer> Servers);

  /// Returns the orders to send now under the lease and marks them as pending.
  std::vector<DueEngineOrder> dueOrders(HeldLease const &Lease, TimePoint Now);

  /// Reports the outcome of an order returned by dueOrders(). The caller
  /// handles EngineOrderOutcome::Fenced and does not pass it here.
  void onOrderEnded(std::string const &OrderId, EngineOrderOutcome Outcome,
                    TimePoint Now);

private:
  struct Progress {
    std::string OrderId_; ///< Of the last order sent.
    bool IsDone_ = false;
    bool IsAwaited_ = false;
    TimePoint NotBefore_{};
  };
  using ProgressKey = std::pair<ServerId, EngineOrderKind>;

  void beginLeaseTerm(HeldLease const &Lease);
  bool tryTakeLoad(TimePoint Now);
  std::optional<DueEngineOrder> nextOrder(BackendServer const &Server,
                                          FencedOrder TargetOrder,
                                          HeldLease const &Lease,
                                          TimePoint Now);

  EngineOrderSettings Settings_;
  std::vector<BackendServer> Servers_;
  std::map<ProgressKey, Progress> Progress_;
  std::uint64_t Fencing_ = 0;
  TimePoint NextLoad_{};
};

} // namespace laburnum
