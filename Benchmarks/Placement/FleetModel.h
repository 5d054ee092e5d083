#pragma once

#include <LibPlacement/ServicePlacement.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::bench {

/// One user's fleet. The simulation reclaims servers at the offers' rates.
struct Workload {
  std::string Name_;
  PlacementNeed Need_;
  std::vector<PlacementOffer> Offers_;

  auto operator<=>(Workload const &) const = default;
};

/// Mean values over the run.
struct Outcome {
  double PricePerHour_ = 0;
  double OnDemand_ = 0; ///< Servers.
  double RecomputedPerHour_ = 0;
  double TimeAtTarget_ = 0; ///< Fraction of time with enough servers.

  auto operator<=>(Outcome const &) const = default;
};

/// Simulates ninety days in steps of one minute. A reclaim wave takes most
/// reclaimable servers of a data centre, and starts there are refused for a
/// while afterwards. Replacements are planned without the refused slots and
/// serve after a start delay.
Outcome simulate(Workload const &Simulated, std::uint64_t Seed);

} // namespace laburnum::bench
