#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/Service.h>
#include <LibPlatform/CloudApi.h>

#include <cstdint>
#include <vector>

namespace laburnum {

/// A data centre and the capacity type of servers there.
struct PlacementSlot {
  DataCentre DataCentre_;
  CapacityType CapacityType_ = CapacityType::Reclaimable;

  auto operator<=>(PlacementSlot const &) const = default;
};

/// The price and the reclaim rate of one server in a slot.
struct PlacementOffer {
  PlacementSlot Slot_;
  double PricePerHour_ = 1.0; ///< In the operators' currency.
  /// Reclaims of one server per hour; 0 for on-demand servers.
  double ReclaimsPerHour_ = 0.0;

  auto operator<=>(PlacementOffer const &) const = default;
};

/// The placement requirements of a service.
struct PlacementNeed {
  /// How many servers meet the latency target. With two or more data centres,
  /// at least this many remain when any one of them is lost.
  std::uint32_t Servers_ = 0;
  double OnDemandShare_ = 0.0; ///< Minimum share that is not reclaimable.
  OutcomeWeights Weights_;
  /// Mean number of tokens recomputed when one server is reclaimed.
  double TokensPerReclaim_ = 0.0;

  auto operator<=>(PlacementNeed const &) const = default;
};

/// How many servers to keep in a slot.
struct PlannedCount {
  PlacementSlot Slot_;
  std::uint32_t Count_ = 0;

  auto operator<=>(PlannedCount const &) const = default;
};

/// Cost units per hour of one server: its price plus the tokens recomputed
/// because of reclaims, each multiplied by the operators' weight.
double weightedCost(PlacementOffer const &Offer, PlacementNeed const &Need);

/// Returns the counts with the lowest weighted cost, sorted by slot and without
/// zeros. The result is empty when nothing is needed or offered. With a single
/// data centre no spare servers are planned, since they cannot be spread.
std::vector<PlannedCount>
planPlacement(PlacementNeed const &Need,
              std::vector<PlacementOffer> const &Offers);

} // namespace laburnum
