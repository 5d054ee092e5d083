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
  /// Prices where no server of that tenure is known.
  double ReclaimablePrice_ = 1.0;
  double OnDemandPrice_ = 3.0;
  /// Tokens of all streams of one model server that a reclaim loses.
  double TokensPerReclaim_ = 3200;
  /// Servers move to another slot when that saves at least this share of the
  /// plan's weighted cost.
  double LeastSaving_ = 0.1;

  auto operator<=>(PlacementSettings const &) const = default;
};

/// How many servers a service has in each slot.
using SlotCounts = std::map<PlacementSlot, std::uint32_t>;

/// What to change about a service's servers. Orders are named by identifier.
struct PlacementChange {
  std::vector<PlacementSlot> Starts_;
  std::vector<std::string> Stops_;

  auto operator<=>(PlacementChange const &) const = default;
};

/// What is offered to a service: the data centres that it may use, or those
/// where any server is known, at the prices of the known servers, without the
/// slots in Refused.
std::vector<PlacementOffer> offersFor(Service const &Owner,
                                      Configuration const &InForce,
                                      ReclaimRates const &Rates,
                                      std::set<PlacementSlot> const &Refused,
                                      PlacementSettings const &Settings);

/// The servers of a service that stay.
struct PlacementState {
  /// Those that operators introduced and those that were ordered, also when
  /// they are still to start; a server that is both counts once.
  SlotCounts Present_;
  SlotCounts Started_;            ///< The same without those to start.
  SlotCounts Serving_;            ///< Those that were introduced.
  std::set<ServerId> Introduced_; ///< The same by identifier.
  /// Slots are refused for now, so that no server is given up.
  bool HasRefusals_ = false;

  auto operator<=>(PlacementState const &) const = default;
};

PlacementState stateOf(Service const &Owner, Configuration const &InForce,
                       servers::Departures const &Departures,
                       OrderRecord const &Record);

/// Servers are started while the service lacks some, or when moving ordered
/// servers to cheaper slots saves enough. Only ordered servers are stopped, and
/// only those that the need can spare: after the loss of any one data centre
/// those that were started, and for one that serves also those that serve,
/// still meet it. What operators introduced without an order is theirs.
PlacementChange changeFor(Service const &Owner,
                          std::vector<PlacementOffer> const &Offers,
                          PlacementState const &State,
                          OrderRecord const &Record,
                          PlacementSettings const &Settings);

} // namespace laburnum
