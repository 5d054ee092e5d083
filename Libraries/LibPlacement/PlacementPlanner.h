#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/Service.h>
#include <LibPlatform/CloudApi.h>

#include <cstdint>
#include <vector>

namespace laburnum {

/// A data centre and the terms on which servers are had there.
struct PlacementSlot {
  DataCentre DataCentre_;
  CapacityType CapacityType_ = CapacityType::Reclaimable;

  auto operator<=>(PlacementSlot const &) const = default;
};

/// What one server costs in a slot.
struct PlacementOffer {
  PlacementSlot Slot_;
  double PricePerHour_ = 1.0; ///< In the operators' currency.
  /// How often one server is reclaimed there; 0 for on-demand servers.
  double ReclaimsPerHour_ = 0.0;

  auto operator<=>(PlacementOffer const &) const = default;
};

/// What a service needs of its placement.
struct PlacementNeed {
  /// Servers that hold the latency target together; that many remain when any
  /// one data centre is lost, if there are two.
  std::uint32_t Servers_ = 0;
  double OnDemandShare_ = 0.0; ///< The least share that is not reclaimable.
  OutcomeWeights Weights_;
  /// Computed again, on average, when one server is reclaimed.
  double TokensPerReclaim_ = 0.0;

  auto operator<=>(PlacementNeed const &) const = default;
};

/// How many servers to keep in a slot.
struct PlannedCount {
  PlacementSlot Slot_;
  std::uint32_t Count_ = 0;

  auto operator<=>(PlannedCount const &) const = default;
};

/// Cost units per hour of one server: its price and the tokens that its
/// reclaims make to be computed again, each by the operators' weight.
double weightedCost(PlacementOffer const &Offer, PlacementNeed const &Need);

/// The counts of least weighted cost, in order of slots and without zeros.
/// Empty when nothing is needed or offered. With one data centre only there is
/// nothing to spread over, and just the need is planned.
std::vector<PlannedCount>
planPlacement(PlacementNeed const &Need,
              std::vector<PlacementOffer> const &Offers);

} // namespace laburnum
