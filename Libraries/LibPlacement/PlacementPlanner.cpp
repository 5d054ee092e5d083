#include <LibPlacement/PlacementPlanner.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace laburnum {

namespace {

/// The offers of one data centre with the lowest weighted cost.
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

  /// Tries every possible server count for the largest data centre. Since its
  /// loss must be covered, its servers are planned in addition to the need.
  Plan best() const {
    auto const Needed = Need_.Servers_;
    if (Needed == 0 || Sites_.empty())
      return {};
    if (Sites_.size() == 1)
      return planFor(Needed, Needed);
    auto const Others = static_cast<std::uint32_t>(Sites_.size() - 1);
    Plan Best;
    for (auto MaxPerSite = (Needed + Others - 1) / Others; MaxPerSite <= Needed;
         ++MaxPerSite) {
      auto Next = planFor(Needed + MaxPerSite, MaxPerSite);
      if (Next.Cost_ < Best.Cost_)
        Best = std::move(Next);
    }
    return Best;
  }

private:
  void add(PlacementOffer const &Offer) {
    auto &SiteOffers = Sites_[Offer.Slot_.DataCentre_];
    auto &Cheapest = Offer.Slot_.CapacityType_ == CapacityType::OnDemand
                         ? SiteOffers.OnDemand_
                         : SiteOffers.Reclaimable_;
    if (!Cheapest || cost(Offer) < cost(*Cheapest))
      Cheapest = Offer;
  }

  double cost(PlacementOffer const &Offer) const {
    return weightedCost(Offer, Need_);
  }

  PlacementOffer const &cheapest(Site const &SiteOffers) const {
    if (!SiteOffers.Reclaimable_)
      return *SiteOffers.OnDemand_;
    if (!SiteOffers.OnDemand_)
      return *SiteOffers.Reclaimable_;
    return cost(*SiteOffers.Reclaimable_) < cost(*SiteOffers.OnDemand_)
               ? *SiteOffers.Reclaimable_
               : *SiteOffers.OnDemand_;
  }

  /// Plans Total servers, at most MaxPerSite in one data centre, and fills the
  /// cheapest data centres first.
  Plan planFor(std::uint32_t Total, std::uint32_t MaxPerSite) const {
    std::vector<std::pair<double, DataCentre>> Order;
    for (auto const &[Name, SiteOffers] : Sites_)
      Order.emplace_back(cost(cheapest(SiteOffers)), Name);
    std::sort(Order.begin(), Order.end());
    Plan Candidate;
    auto Remaining = Total;
    for (auto const &[Cost, Name] : Order) {
      auto const Assigned = std::min(Remaining, MaxPerSite);
      Remaining -= Assigned;
      if (Assigned > 0)
        Candidate.Counts_[cheapest(Sites_.at(Name)).Slot_] = Assigned;
    }
    applyOnDemandShare(Candidate, Total);
    Candidate.Cost_ = total(Candidate);
    return Candidate;
  }

  /// Replaces reclaimable servers by on-demand ones where that costs least,
  /// until the on-demand share is reached.
  void applyOnDemandShare(Plan &Candidate, std::uint32_t Total) const {
    auto const Required =
        static_cast<std::uint32_t>(std::ceil(Need_.OnDemandShare_ * Total));
    std::uint32_t OnDemandCount = 0;
    std::vector<std::pair<double, DataCentre>> Order;
    for (auto const &[Slot, Count] : Candidate.Counts_) {
      auto const &SiteOffers = Sites_.at(Slot.DataCentre_);
      if (Slot.CapacityType_ == CapacityType::OnDemand)
        OnDemandCount += Count;
      else if (SiteOffers.OnDemand_)
        Order.emplace_back(cost(*SiteOffers.OnDemand_) -
                               cost(*SiteOffers.Reclaimable_),
                           Slot.DataCentre_);
    }
    std::sort(Order.begin(), Order.end());
    for (auto const &[ExtraCost, Name] : Order) {
      auto &Reclaimable = Candidate.Counts_[{Name, CapacityType::Reclaimable}];
      auto const Converted =
          std::min(Reclaimable, Required - std::min(OnDemandCount, Required));
      Reclaimable -= Converted;
      OnDemandCount += Converted;
      Candidate.Counts_[{Name, CapacityType::OnDemand}] += Converted;
    }
  }

  double total(Plan const &Candidate) const {
    double Sum = 0;
    for (auto const &[Slot, Count] : Candidate.Counts_) {
      auto const &SiteOffers = Sites_.at(Slot.DataCentre_);
      auto const &Offer = Slot.CapacityType_ == CapacityType::OnDemand
                              ? SiteOffers.OnDemand_
                              : SiteOffers.Reclaimable_;
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
