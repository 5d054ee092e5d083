#include <LibPlacement/PlacementPlanner.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace laburnum;

namespace {

PlacementOffer offer(std::string const &Where, CapacityType Terms, double Price,
                     double Reclaims = 0) {
  return {{DataCentre(Where), Terms}, Price, Reclaims};
}

std::vector<PlacementOffer> const Offers = {
    offer("a", CapacityType::Reclaimable, 1.0, 0.2),
    offer("a", CapacityType::OnDemand, 3.0),
    offer("b", CapacityType::Reclaimable, 1.2, 0.1),
    offer("b", CapacityType::OnDemand, 3.2),
    offer("c", CapacityType::Reclaimable, 1.4, 0.1),
    offer("c", CapacityType::OnDemand, 3.0)};

std::uint32_t countOf(std::vector<PlannedCount> const &Plan,
                      CapacityType Terms) {
  std::uint32_t Sum = 0;
  for (auto const &One : Plan)
    Sum += One.Slot_.CapacityType_ == Terms ? One.Count_ : 0;
  return Sum;
}

std::uint32_t afterWorstLoss(std::vector<PlannedCount> const &Plan) {
  std::map<DataCentre, std::uint32_t> Sites;
  std::uint32_t Total = 0;
  std::uint32_t Largest = 0;
  for (auto const &One : Plan) {
    Total += One.Count_;
    Sites[One.Slot_.DataCentre_] += One.Count_;
    Largest = std::max(Largest, Sites[One.Slot_.DataCentre_]);
  }
  return Total - Largest;
}

PlacementNeed need(std::uint32_t Servers, double TokenWeight) {
  PlacementNeed Wanted;
  Wanted.Servers_ = Servers;
  Wanted.Weights_.RecomputedToken_ = TokenWeight;
  Wanted.TokensPerReclaim_ = 1000;
  return Wanted;
}

} // namespace

TEST_CASE("Losing any one data centre keeps the need") {
  for (std::uint32_t Servers = 1; Servers <= 20; ++Servers) {
    auto const Plan = planPlacement(need(Servers, 0), Offers);
    CHECK(afterWorstLoss(Plan) >= Servers);
  }
  auto const Even = planPlacement(need(10, 0), Offers);
  CHECK(countOf(Even, CapacityType::Reclaimable) == 15);
}

TEST_CASE("The weight of recomputed tokens turns the tenure") {
  auto const ByCost = planPlacement(need(10, 0.0001), Offers);
  CHECK(countOf(ByCost, CapacityType::OnDemand) == 0);
  auto const ByTokens = planPlacement(need(10, 0.1), Offers);
  CHECK(countOf(ByTokens, CapacityType::Reclaimable) == 0);
  // Between them the data centre that is reclaimed most turns first.
  auto const Mixed = planPlacement(need(10, 0.0125), Offers);
  CHECK(countOf(Mixed, CapacityType::OnDemand) > 0);
  CHECK(countOf(Mixed, CapacityType::Reclaimable) > 0);
  for (auto const &One : Mixed)
    if (One.Slot_.DataCentre_ == DataCentre("a"))
      CHECK(One.Slot_.CapacityType_ == CapacityType::OnDemand);
}

TEST_CASE("The on-demand share is kept where it costs least") {
  auto Wanted = need(10, 0);
  Wanted.OnDemandShare_ = 0.2;
  auto const Plan = planPlacement(Wanted, Offers);
  CHECK(countOf(Plan, CapacityType::OnDemand) == 3);
  auto const InC =
      std::find(Plan.begin(), Plan.end(),
                PlannedCount{{DataCentre("c"), CapacityType::OnDemand}, 3});
  CHECK(InC != Plan.end());
}

TEST_CASE("Without a choice just what can be had is planned") {
  CHECK(planPlacement(need(0, 1), Offers).empty());
  CHECK(planPlacement(need(3, 1), {}).empty());
  auto const One =
      planPlacement(need(3, 0), {offer("a", CapacityType::Reclaimable, 1, 0)});
  REQUIRE(One.size() == 1);
  CHECK(One.front().Count_ == 3);
}
