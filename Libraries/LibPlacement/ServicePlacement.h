#pragma once

#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>
#include <LibPlacement/OrderRecord.h>
#include <LibPlacement/PlacementPlanner.h>
#include <LibPlacement/ReclaimRates.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

struct PlacementSettings {
  /// Prices used when no server of that capacity type is known.
  double ReclaimablePrice_ = 1.0;
  double OnDemandPrice_ = 3.0;
  /// Tokens lost by a reclaim, over all streams of one model server.
  double TokensPerReclaim_ = 3200;
  /// Servers are moved to another slot only when that saves at least this share
  /// of the plan's weighted cost.
  double MinSaving_ = 0.1;

  auto operator<=>(PlacementSettings const &) const = default;
};

/// How many servers a service has in each slot.
using SlotCounts = std::map<PlacementSlot, std::uint32_t>;

/// Changes to make to a service's servers: slots to start a server in, and
/// identifiers of the orders to stop.
struct PlacementChange {
  std::vector<PlacementSlot> Starts_;
  std::vector<std::string> Stops_;

  auto operator<=>(PlacementChange const &) const = default;
};

/// Returns the slots that a service can use, at the prices of the known
/// servers: all capacity types in the data centres that its placement lists, or
/// where any server is known if it lists none, without the slots in Refused.
std::vector<PlacementOffer> offersFor(Service const &Owner,
                                      Configuration const &InForce,
                                      ReclaimRates const &Rates,
                                      std::set<PlacementSlot> const &Refused,
                                      PlacementSettings const &Settings);

/// The servers of a service, without those that are leaving or being stopped.
struct PlacementState {
  /// Servers introduced by operators and ordered servers, including those that
  /// have not started yet. A server that is both counts once.
  SlotCounts Present_;
  SlotCounts Started_; ///< Present_ without servers that have not started.
  SlotCounts Serving_; ///< Introduced servers only.
  std::set<ServerId> Introduced_;
  /// Whether any slot currently refuses starts. No server is stopped then,
  /// since it might not be replaceable.
  bool HasRefusals_ = false;

  auto operator<=>(PlacementState const &) const = default;
};

PlacementState stateOf(Service const &Owner, Configuration const &InForce,
                       servers::Departures const &Departures,
                       OrderRecord const &Record);

/// Starts servers while the service has too few, or when moving ordered servers
/// to cheaper slots saves enough. Only ordered servers are stopped, never those
/// that operators introduced without an order. An ordered server is stopped
/// only if the remaining started servers still meet the requirement after the
/// loss of any one data centre. If it serves, the remaining serving servers
/// must do so, too.
PlacementChange changeFor(Service const &Owner,
                          std::vector<PlacementOffer> const &Offers,
                          PlacementState const &State,
                          OrderRecord const &Record,
                          PlacementSettings const &Settings);

} // namespace laburnum
