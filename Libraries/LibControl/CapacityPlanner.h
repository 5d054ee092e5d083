#pragma once

#include <LibControl/DemandView.h>
#include <LibCore/Time.h>
#include <LibPlatform/FencedPlatformApi.h>
#include <LibTraffic/Route.h>
#include <LibTraffic/ServerRecord.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnum {

/// How many servers a service should have.
struct CapacitySettings {
  /// The part of a server's slots that requests take on average. A batch that
  /// is fuller answers each of its requests more slowly.
  double Utilisation_ = 0.32;
  /// Of the servers needed, those that the platform cannot take away at once.
  double OnDemandPart_ = 0.45;
  /// Of the servers needed, those that it can, in all data centres together.
  double ReclaimablePart_ = 1.5;
  /// A need counts this long: load that swings is not followed down.
  Duration NeedRetention_ = std::chrono::seconds(8);
  /// Between two orders that take servers away.
  Duration ShrinkPause_ = std::chrono::seconds(2);
  double ShrinkStep_ = 0.25; ///< The most that one such order takes away.
  /// Demand is watched this long before anything is taken away.
  Duration WarmUp_ = std::chrono::seconds(5);
  /// After the platform had none to give.
  Duration RefusalPause_ = std::chrono::milliseconds(2500);

  auto operator<=>(CapacitySettings const &) const = default;
};

/// What is known of a service whose servers can be ordered.
struct CapacityInput {
  ServiceName Service_;
  ScalingBounds Bounds_;
  std::uint32_t Slots_ = 1; ///< Of one server.
  FleetDemand Demand_;
  std::vector<ServerRecord> Servers_;
  /// The shortest of the service's routes.
  Duration LatencyTarget_ = std::chrono::seconds(1);
};

/// Decides which servers to order for one service.
///
/// The need follows the rate of requests and the time that one takes while
/// servers are not overfull, as an overload would otherwise feed itself. A part
/// of it is kept on demand and stays when a data centre's reclaimable servers
/// are taken away at once; the rest is reclaimable and spread over the data
/// centres. Where reclaimable servers leave or are not to be had, others are
/// ordered in their place. Orders grow at once and shrink slowly.
class CapacityPlanner {
public:
  explicit CapacityPlanner(CapacitySettings Settings) : Settings_(Settings) {}

  /// Watches the demand. To be called a few times a second, also while another
  /// instance holds the duty: whoever takes it over knows the need then.
  void observe(CapacityInput const &Input, TimePoint Now);
  /// The orders to send now. To be called after observe() while this instance
  /// holds the duty.
  std::vector<ServerOrder> plan(CapacityInput const &Input, TimePoint Now);
  /// The platform has none of these to give now.
  void onRefused(ServerOrder const &Order, TimePoint Now);
  /// The order may not have reached the platform.
  void onLost(ServerOrder const &Order);
  /// Another instance held the duty meanwhile: nothing is known of its orders.
  void reset();

  std::uint32_t need() const { return LastNeed_; }

private:
  struct Slot {
    DataCentre DataCentre_;
    CapacityType CapacityType_ = CapacityType::OnDemand;

    auto operator<=>(Slot const &) const = default;
  };
  struct Sent {
    std::uint32_t Count_ = 0;
    std::uint32_t Present_ = 0; ///< When it was sent.
    TimePoint At_{};
  };
  using Counts = std::map<Slot, std::uint32_t>;

  std::uint32_t retainedNeed(CapacityInput const &Input, std::size_t Ready,
                             TimePoint Now);
  void learnUsualTime(double Taken, double Fullness, Duration Target);
  Counts ready(CapacityInput const &Input, TimePoint Now) const;
  Counts desired(CapacityInput const &Input, Counts const &Ready,
                 std::uint32_t Need, TimePoint Now);
  std::uint32_t reclaimableOnTheWay(CapacityInput const &Input,
                                    Counts const &Ready, TimePoint Now) const;
  std::uint32_t onDemandTotal(CapacityInput const &Input, Counts const &Ready,
                              std::uint32_t Need, TimePoint Now);
  std::vector<DataCentre> cheapestFirst(ScalingBounds const &Bounds) const;
  bool isWarm(TimePoint Now) const;
  bool isRefused(Slot const &Place, TimePoint Now) const;
  bool isDue(Slot const &Place, std::uint32_t Wanted, std::uint32_t Ready,
             ScalingBounds const &Bounds, TimePoint Now) const;

  CapacitySettings Settings_;
  std::optional<TimePoint> DemandSince_;
  double Requests_ = 0.0;  ///< Smoothed.
  double PerSecond_ = 0.0; ///< Smoothed.
  /// How long a request takes while servers are not overfull, in seconds.
  std::optional<double> UsualTime_;
  std::deque<std::pair<TimePoint, std::uint32_t>> Needs_;
  std::deque<std::pair<TimePoint, std::uint32_t>> OnDemandNeeds_;
  std::map<Slot, Sent> Sent_;
  std::map<Slot, TimePoint> RefusedUntil_;
  TimePoint LastShrink_{};
  std::uint32_t LastNeed_ = 0;
};

} // namespace laburnum
