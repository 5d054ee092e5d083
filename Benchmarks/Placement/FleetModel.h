#pragma once

#include <LibPlacement/ServicePlacement.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum::bench {

/// One user's fleet. The offers' reclaim rates are also the true ones.
struct Workload {
  std::string Name_;
  PlacementNeed Need_;
  std::vector<PlacementOffer> Offers_;

  auto operator<=>(Workload const &) const = default;
};

/// Means over the run.
struct Outcome {
  double PricePerHour_ = 0;
  double OnDemand_ = 0; ///< Servers.
  double RecomputedPerHour_ = 0;
  double TimeAtTarget_ = 0; ///< The share in which the need was met.

  auto operator<=>(Outcome const &) const = default;
};

/// Ninety days in steps of a minute. A wave takes most reclaimable servers of a
/// data centre, and starts there are refused for a while after it. What is
/// missing is planned anew without the refused slots and started after a delay.
Outcome simulate(Workload const &Given, std::uint64_t Seed);

} // namespace laburnum::bench
