#include <LibPlacement/PlacementPlanner.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace laburnum;

namespace {

PlacementOffer offer(std::string const &Site, CapacityType Capacity,
                     double Price, double Reclaims = 0) {
  return {{DataCentre(Site), Capacity}, Price, Reclaims};
}

std::vector<PlacementOffer> const Offers = {
    offer("a", CapacityType::Reclaimable, 1.0, 0.2),
    offer("a", CapacityType::OnDemand, 3.0),
    offer("b", CapacityType::Reclaimable, 1.2, 0.1),
    offer("b", CapacityType::OnDemand, 3.2),
    offer("c", CapacityType::Reclaimable, 1.4, 0.1),
    offer("c", CapacityType::OnDemand, 3.0)};

std::uint32_t countOf(std::vector<PlannedCount> const &Plan,
                      CapacityType Capacity) {
  std::uint32_t Sum = 0;
  for (auto const &Planned : Plan)
    Sum += Planned.Slot_.CapacityType_ == Capacity ? Planned.Count_ : 0;
  return Sum;
}

std::uint32_t remainingAfterWorstLoss(std::vector<PlannedCount> const &Plan) {
  std::map<DataCentre, std::uint32_t> Sites;
  std::uint32_t Total = 0;
  std::uint32_t Largest = 0;
  for (auto const &Planned : Plan) {
    Total += Planned.Count_;
    Sites[Planned.Slot_.DataCentre_] += Planned.Count_;
    Largest = std::max(Largest, Sites[Planned.Slot_.DataCentre_]);
  }
  return Total - Largest;
}

PlacementNeed need(std::uint32_t Servers, double TokenWeight) {
  PlacementNeed Need;
  Need.Servers_ = Servers;
  Need.Weights_.RecomputedToken_ = TokenWeight;
  Need.TokensPerReclaim_ = 1000;
  return Need;
}

} // namespace

TEST_CASE("The plan meets the need after the loss of any one data centre") {
  for (std::uint32_t Servers = 1; Servers <= 20; ++Servers) {
    auto const Plan = planPlacement(need(Servers, 0), Offers);
    CHECK(remainingAfterWorstLoss(Plan) >= Servers);
  }
  auto const Even = planPlacement(need(10, 0), Offers);
  CHECK(countOf(Even, CapacityType::Reclaimable) == 15);
}

TEST_CASE("The weight of recomputed tokens decides the capacity type") {
  auto const ByCost = planPlacement(need(10, 0.0001), Offers);
  CHECK(countOf(ByCost, CapacityType::OnDemand) == 0);
  auto const ByTokens = planPlacement(need(10, 0.1), Offers);
  CHECK(countOf(ByTokens, CapacityType::Reclaimable) == 0);
  // In between, the data centre with the most reclaims changes first.
  auto const Mixed = planPlacement(need(10, 0.0125), Offers);
  CHECK(countOf(Mixed, CapacityType::OnDemand) > 0);
  CHECK(countOf(Mixed, CapacityType::Reclaimable) > 0);
  for (auto const &Planned : Mixed)
    if (Planned.Slot_.DataCentre_ == DataCentre("a"))
      CHECK(Planned.Slot_.CapacityType_ == CapacityType::OnDemand);
}

TEST_CASE("The on-demand share is kept where it costs least") {
  auto Need = need(10, 0);
  Need.OnDemandShare_ = 0.2;
  auto const Plan = planPlacement(Need, Offers);
  CHECK(countOf(Plan, CapacityType::OnDemand) == 3);
  auto const InC =
      std::find(Plan.begin(), Plan.end(),
                PlannedCount{{DataCentre("c"), CapacityType::OnDemand}, 3});
  CHECK(InC != Plan.end());
}

TEST_CASE("Without alternatives the plan uses what is offered") {
  CHECK(planPlacement(need(0, 1), Offers).empty());
  CHECK(planPlacement(need(3, 1), {}).empty());
  auto const Planned =
      planPlacement(need(3, 0), {offer("a", CapacityType::Reclaimable, 1, 0)});
  REQUIRE(Planned.size() == 1);
  CHECK(Planned.front().Count_ == 3);
}
