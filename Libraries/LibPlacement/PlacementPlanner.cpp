#include <LibPlacement/PlacementPlanner.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace laburnum {

namespace {

/// The best offers of one data centre, by weighted cost.
struct Site {
  std::optional<PlacementOffer> Reclaimable_;
  std::optional<PlacementOffer> OnDemand_;
};

struct Plan {
  double Cost_ = std::numeric_limits<double>::infinity();
  std::map<PlacementSlot, std::uint32_t> Counts_;
};

class Planner {
public:
  Planner(PlacementNeed const &Need, std::vector<PlacementOffer> const &Offers)
      : Need_(Need) {
    for (auto const &Offer : Offers)
      add(Offer);
  }

  /// The largest data centre's share is tried at each size: whatever it holds
  /// comes on top of the need.
  Plan best() const {
    auto const Needed = Need_.Servers_;
    if (Needed == 0 || Sites_.empty())
      return {};
    if (Sites_.size() == 1)
      return planFor(Needed, Needed);
    auto const Others = static_cast<std::uint32_t>(Sites_.size() - 1);
    Plan Best;
    for (auto Most = (Needed + Others - 1) / Others; Most <= Needed; ++Most) {
      auto Next = planFor(Needed + Most, Most);
      if (Next.Cost_ < Best.Cost_)
        Best = std::move(Next);
    }
    return Best;
  }

private:
  void add(PlacementOffer const &Offer) {
    auto &Of = Sites_[Offer.Slot_.DataCentre_];
    auto &Kept = Offer.Slot_.CapacityType_ == CapacityType::OnDemand
                     ? Of.OnDemand_
                     : Of.Reclaimable_;
    if (!Kept || cost(Offer) < cost(*Kept))
      Kept = Offer;
  }

  double cost(PlacementOffer const &Offer) const {
    return weightedCost(Offer, Need_);
  }

  PlacementOffer const &cheapest(Site const &Of) const {
    if (!Of.Reclaimable_)
      return *Of.OnDemand_;
    if (!Of.OnDemand_)
      return *Of.Reclaimable_;
    return cost(*Of.Reclaimable_) < cost(*Of.OnDemand_) ? *Of.Reclaimable_
                                                        : *Of.OnDemand_;
  }

  /// Total servers, at most Most in one data centre, the cheapest first.
  Plan planFor(std::uint32_t Total, std::uint32_t Most) const {
    std::vector<std::pair<double, DataCentre>> Order;
    for (auto const &[Name, Of] : Sites_)
      Order.emplace_back(cost(cheapest(Of)), Name);
    std::sort(Order.begin(), Order.end());
    Plan Made;
    auto Left = Total;
    for (auto const &[Cost, Name] : Order) {
      auto const Here = std::min(Left, Most);
      Left -= Here;
      if (Here > 0)
        Made.Counts_[cheapest(Sites_.at(Name)).Slot_] = Here;
    }
    keepShare(Made, Total);
    Made.Cost_ = total(Made);
    return Made;
  }

  /// Turns reclaimable servers into on-demand ones where that costs least.
  void keepShare(Plan &Made, std::uint32_t Total) const {
    auto const Wanted =
        static_cast<std::uint32_t>(std::ceil(Need_.OnDemandShare_ * Total));
    std::uint32_t Held = 0;
    std::vector<std::pair<double, DataCentre>> Order;
    for (auto const &[Slot, Count] : Made.Counts_) {
      auto const &Of = Sites_.at(Slot.DataCentre_);
      if (Slot.CapacityType_ == CapacityType::OnDemand)
        Held += Count;
      else if (Of.OnDemand_)
        Order.emplace_back(cost(*Of.OnDemand_) - cost(*Of.Reclaimable_),
                           Slot.DataCentre_);
    }
    std::sort(Order.begin(), Order.end());
    for (auto const &[Extra, Name] : Order) {
      auto &Reclaimable = Made.Counts_[{Name, CapacityType::Reclaimable}];
      auto const Turned =
          std::min(Reclaimable, Wanted - std::min(Held, Wanted));
      Reclaimable -= Turned;
      Held += Turned;
      Made.Counts_[{Name, CapacityType::OnDemand}] += Turned;
    }
  }

  double total(Plan const &Made) const {
    double Sum = 0;
    for (auto const &[Slot, Count] : Made.Counts_) {
      auto const &Of = Sites_.at(Slot.DataCentre_);
      auto const &Offer = Slot.CapacityType_ == CapacityType::OnDemand
                              ? Of.OnDemand_
                              : Of.Reclaimable_;
      Sum += Count == 0 ? 0 : Count * cost(*Offer);
    }
    return Sum;
  }

  PlacementNeed const &Need_;
  std::map<DataCentre, Site> Sites_;
};

} // namespace

double weightedCost(PlacementOffer const &Offer, PlacementNeed const &Need) {
  return Need.Weights_.Cost_ * Offer.PricePerHour_ +
         Need.Weights_.RecomputedToken_ * Offer.ReclaimsPerHour_ *
             Need.TokensPerReclaim_;
}

std::vector<PlannedCount>
planPlacement(PlacementNeed const &Need,
              std::vector<PlacementOffer> const &Offers) {
  std::vector<PlannedCount> Counts;
  for (auto const &[Slot, Count] : Planner(Need, Offers).best().Counts_)
    if (Count > 0)
      Counts.push_back({Slot, Count});
  return Counts;
}

} // namespace laburnum
