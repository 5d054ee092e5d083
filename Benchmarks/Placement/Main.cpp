#include "FleetModel.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

using namespace laburnum;
using namespace laburnum::bench;

namespace {

PlacementOffer offer(std::string const &Where, CapacityType CapacityKind,
                     double Price, double Reclaims) {
  return {{DataCentre(Where), CapacityKind}, Price, Reclaims};
}

/// Twenty servers that generate long dossiers.
Workload tsukushi() {
  Workload Fleet;
  Fleet.Name_ = "tsukushi";
  Fleet.Need_.Servers_ = 20;
  Fleet.Need_.Weights_ = {0.001, 1.0};
  Fleet.Need_.TokensPerReclaim_ = 12 * 1800;
  Fleet.Offers_ = {offer("kumamoto-a", CapacityType::Reclaimable, 1.0, 0.20),
                   offer("kumamoto-a", CapacityType::OnDemand, 3.0, 0),
                   offer("kagoshima-a", CapacityType::Reclaimable, 1.1, 0.05),
                   offer("kagoshima-a", CapacityType::OnDemand, 3.1, 0),
                   offer("fukuoka-a", CapacityType::Reclaimable, 1.3, 0.10),
                   offer("fukuoka-a", CapacityType::OnDemand, 3.3, 0)};
  return Fleet;
}

/// Ten servers that generate short descriptions.
Workload kartenhuelle() {
  Workload Fleet;
  Fleet.Name_ = "kartenhuelle";
  Fleet.Need_.Servers_ = 10;
  Fleet.Need_.Weights_ = {0.00005, 1.0};
  Fleet.Need_.TokensPerReclaim_ = 12 * 350;
  Fleet.Offers_ = {offer("wien-1", CapacityType::Reclaimable, 0.9, 0.20),
                   offer("wien-1", CapacityType::OnDemand, 2.8, 0),
                   offer("wien-2", CapacityType::Reclaimable, 1.0, 0.10),
                   offer("wien-2", CapacityType::OnDemand, 2.9, 0),
                   offer("innsbruck-1", CapacityType::Reclaimable, 1.2, 0.05),
                   offer("innsbruck-1", CapacityType::OnDemand, 3.0, 0)};
  return Fleet;
}

Workload onlyCapacityType(Workload Changed, CapacityType CapacityKind) {
  std::erase_if(Changed.Offers_, [&](PlacementOffer const &One) {
    return One.Slot_.CapacityType_ != CapacityKind;
  });
  return Changed;
}

void print(char const *Policy, Workload const &Valued,
           Outcome const &Measured) {
  auto const Weighted =
      Valued.Need_.Weights_.Cost_ * Measured.PricePerHour_ +
      Valued.Need_.Weights_.RecomputedToken_ * Measured.RecomputedPerHour_;
  std::printf("%-13s %-22s %10.2f %10.2f %12.0f %10.2f %10.3f\n",
              Valued.Name_.c_str(), Policy, Measured.PricePerHour_,
              Measured.OnDemand_, Measured.RecomputedPerHour_, Weighted,
              100 * Measured.TimeAtTarget_);
}

void compare(Workload const &Compared, Workload const &Other,
             std::uint64_t Seed) {
  auto Swapped = Compared;
  Swapped.Need_.Weights_ = Other.Need_.Weights_;
  print("own weights", Compared, simulate(Compared, Seed));
  print("other user's weights", Compared, simulate(Swapped, Seed));
  print("all on-demand", Compared,
        simulate(onlyCapacityType(Compared, CapacityType::OnDemand), Seed));
  print("all reclaimable", Compared,
        simulate(onlyCapacityType(Compared, CapacityType::Reclaimable), Seed));
}

} // namespace

/// Prints the cost of each user's fleet under the planner and under two simple
/// policies, simulated in virtual time.
int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-placement", "Measures placement policies.");
  Options.add_options()("seed", "seed of the reclaim waves",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  auto const Seed = Options.parse(Count, Arguments)["seed"].as<std::uint64_t>();
  std::printf("seed %llu, 90 days of virtual time\n",
              static_cast<unsigned long long>(Seed));
  std::printf("%-13s %-22s %10s %10s %12s %10s %10s\n", "fleet", "policy",
              "price/h", "on-demand", "recomputed/h", "weighted/h", "target %");
  compare(tsukushi(), kartenhuelle(), Seed);
  compare(kartenhuelle(), tsukushi(), Seed);
  return 0;
}
