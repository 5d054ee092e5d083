#pragma once

#include <LibControl/DemandView.h>
#include <LibCore/Time.h>
#include <LibPeer/EngineWork.h>
#include <LibPlatform/FencedPlatformApi.h>
#include <LibTraffic/Route.h>
#include <LibTraffic/ServerRecord.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// Targets and limits for the number of servers of a service.
struct CapacitySettings {
  /// Target fraction of a server's slots in use on average. Fuller batches
  /// increase the latency of each request.
  double Utilisation_ = 0.32;
  /// On-demand servers, which the platform does not reclaim, as a fraction of
  /// the servers needed.
  double OnDemandShare_ = 0.45;
  /// Reclaimable servers over all data centres, as a multiple of the servers
  /// needed.
  double ReclaimableShare_ = 1.5;
  /// The highest need within this time is in force, so that fluctuating load
  /// does not cause scale-downs.
  Duration NeedRetention_ = std::chrono::seconds(8);
  /// Minimum time between two scale-down orders.
  Duration ShrinkInterval_ = std::chrono::seconds(2);
  /// Largest fraction of the on-demand servers that one such order removes.
  double ShrinkStep_ = 0.25;
  /// Demand is observed this long before the first scale-down.
  Duration WarmUp_ = std::chrono::seconds(5);
  /// Time until a pool that the platform refused is ordered from again.
  Duration RefusalBackoff_ = std::chrono::milliseconds(2500);

  auto operator<=>(CapacitySettings const &) const = default;
};

/// State of a service whose servers can be ordered.
struct CapacityInput {
  ServiceName Service_;
  ScalingBounds Bounds_;
  std::uint32_t Slots_ = 1; ///< Concurrent requests of one server.
  FleetDemand Demand_;
  std::vector<ServerRecord> Servers_;
  /// What the requests ask of servers that are busy reading before their slots
  /// are in use.
  std::optional<ServiceWork> Work_ = std::nullopt;
  /// The lowest latency target among the service's routes.
  Duration LatencyTarget_ = std::chrono::seconds(1);
  /// The highest one.
  Duration LongestTarget_ = std::chrono::seconds(1);
};

/// Decides which servers to order for one service.
///
/// The need is computed from the request rate and the time that a request takes
/// on servers that are not overloaded; using the time under overload would
/// raise the need further and further. A fixed share of the need is met by
/// on-demand servers, which remain when all reclaimable servers of a data
/// centre are taken away at once. The rest is reclaimable and spread over the
/// data centres. Reclaimable servers that leave or cannot be had are replaced
/// by others. Orders are raised at once and lowered slowly.
class CapacityPlanner {
public:
  explicit CapacityPlanner(CapacitySettings Settings) : Settings_(Settings) {}

  /// Updates the need from the current demand. To be called a few times a
  /// second, also while another instance holds the lease, so that the need is
  /// known when this instance takes the lease over.
  void observe(CapacityInput const &Input, TimePoint Now);
  /// Returns the orders to send now. To be called after observe() while this
  /// instance holds the lease.
  std::vector<ServerOrder> plan(CapacityInput const &Input, TimePoint Now);
  /// The platform has no server of this kind available now.
  void onRefused(ServerOrder const &Order, TimePoint Now);
  /// The order may not have reached the platform.
  void onLost(ServerOrder const &Order);
  /// Discards the state of sent orders: another instance held the lease in the
  /// meantime, and its orders are not known.
  void reset();

  std::uint32_t need() const { return LastNeed_; }
  /// The servers that the work alone asks for, as a part of need().
  std::uint32_t needByWork() const { return LastNeedByWork_; }

private:
  struct ServerPool {
    DataCentre DataCentre_;
    CapacityType CapacityType_ = CapacityType::OnDemand;

    auto operator<=>(ServerPool const &) const = default;
  };
  struct PendingOrder {
    std::uint32_t Count_ = 0;
    std::uint32_t ReadyWhenSent_ = 0; ///< Servers ready when it was sent.
    TimePoint At_{};
  };
  using Counts = std::map<ServerPool, std::uint32_t>;

  std::uint32_t retainedNeed(CapacityInput const &Input, std::size_t Ready,
                             TimePoint Now);
  double serversForWork(CapacityInput const &Input);
  void updateTypicalTime(double RequestTime, double Fullness, Duration Target);
  Counts ready(CapacityInput const &Input, TimePoint Now) const;
  Counts desired(CapacityInput const &Input, Counts const &Ready,
                 std::uint32_t Need, TimePoint Now);
  std::uint32_t reclaimableStarting(CapacityInput const &Input,
                                    Counts const &Ready, TimePoint Now) const;
  std::uint32_t onDemandTotal(CapacityInput const &Input, Counts const &Ready,
                              std::uint32_t Need, TimePoint Now);
  std::vector<DataCentre> cheapestFirst(ScalingBounds const &Bounds) const;
  bool isWarm(TimePoint Now) const;
  bool isRefused(ServerPool const &Pool, TimePoint Now) const;
  bool isDue(ServerPool const &Pool, std::uint32_t DesiredCount,
             std::uint32_t Ready, ScalingBounds const &Bounds,
             TimePoint Now) const;

  CapacitySettings Settings_;
  std::optional<TimePoint> DemandSince_;
  double Requests_ = 0.0;  ///< Smoothed.
  double PerSecond_ = 0.0; ///< Smoothed.
  /// Duration of a request on servers that are not overloaded, in seconds.
  std::optional<double> TypicalTime_;
  std::deque<std::pair<TimePoint, std::uint32_t>> Needs_;
  std::deque<std::pair<TimePoint, std::uint32_t>> OnDemandNeeds_;
  std::map<ServerPool, PendingOrder> PendingOrders_;
  std::map<ServerPool, TimePoint> RefusedUntil_;
  TimePoint LastShrink_{};
  std::uint32_t LastNeed_ = 0;
  std::uint32_t LastNeedByWork_ = 0;
  double TokensPerSecond_ = 0.0; ///< Smoothed.
};

} // namespace laburnum
