#include <LibPlacement/ServicePlacement.h>

#include <algorithm>

namespace laburnum {

namespace {

PlacementSlot slotOf(BackendServer const &Server) {
  return {Server.DataCentre_, Server.IsReclaimable_ ? CapacityType::Reclaimable
                                                    : CapacityType::OnDemand};
}

/// Mean prices of the known servers of a capacity type: in the slot's data
/// centre if any server is known there, otherwise over all data centres.
class PriceTable {
public:
  PriceTable(Configuration const &InForce, PlacementSettings const &Settings)
      : Settings_(Settings) {
    for (auto const &[Name, Owner] : InForce.services())
      for (auto const &Server : InForce.serversOf(Name)) {
        add(BySlot_[slotOf(Server)], Server);
        add(ByCapacityType_[slotOf(Server).CapacityType_], Server);
      }
  }

  double price(PlacementSlot const &Slot) const {
    if (auto const Found = BySlot_.find(Slot); Found != BySlot_.end())
      return Found->second.mean();
    if (auto const Found = ByCapacityType_.find(Slot.CapacityType_);
        Found != ByCapacityType_.end())
      return Found->second.mean();
    return Slot.CapacityType_ == CapacityType::OnDemand
               ? Settings_.OnDemandPrice_
               : Settings_.ReclaimablePrice_;
  }

  std::vector<DataCentre> dataCentres() const {
    std::set<DataCentre> Names;
    for (auto const &[Slot, Prices] : BySlot_)
      Names.insert(Slot.DataCentre_);
    return {Names.begin(), Names.end()};
  }

private:
  struct Prices {
    double Sum_ = 0;
    double Count_ = 0;
    double mean() const { return Sum_ / Count_; }
  };

  static void add(Prices &Into, BackendServer const &Server) {
    Into.Sum_ += Server.PricePerHour_;
    Into.Count_ += 1;
  }

  PlacementSettings const &Settings_;
  std::map<PlacementSlot, Prices> BySlot_;
  std::map<CapacityType, Prices> ByCapacityType_;
};

/// Returns whether enough servers remain after the loss of any one data centre.
/// With fewer than two data centres only the total counts.
bool meetsRequirement(SlotCounts const &Present, std::uint32_t Needed,
                      std::size_t DataCentres) {
  std::map<DataCentre, std::uint32_t> Sites;
  std::uint32_t Total = 0;
  std::uint32_t Largest = 0;
  for (auto const &[Slot, Count] : Present) {
    Total += Count;
    auto &SiteServers = Sites[Slot.DataCentre_];
    SiteServers += Count;
    Largest = std::max(Largest, SiteServers);
  }
  return DataCentres < 2 ? Total >= Needed : Total - Largest >= Needed;
}

/// Returns the slot that lacks the most planned servers, if any.
std::optional<PlacementSlot> largestShortfall(SlotCounts const &Planned,
                                              SlotCounts const &Present) {
  std::optional<PlacementSlot> Found;
  std::uint32_t MaxShortfall = 0;
  for (auto const &[Slot, Count] : Planned) {
    auto const At = Present.find(Slot);
    auto const Existing = At == Present.end() ? 0 : At->second;
    if (Count <= Existing || Count - Existing <= MaxShortfall)
      continue;
    MaxShortfall = Count - Existing;
    Found = Slot;
  }
  return Found;
}

std::size_t countDataCentres(std::vector<PlacementOffer> const &Offers) {
  std::set<DataCentre> Names;
  for (auto const &Offer : Offers)
    Names.insert(Offer.Slot_.DataCentre_);
  return Names.size();
}

/// Builds the change from a service's current servers to the plan.
class ChangeBuilder {
public:
  ChangeBuilder(PlacementNeed const &Need,
                std::vector<PlacementOffer> const &Offers,
                PlacementState const &State, PlacementSettings const &Settings)
      : Need_(Need), Settings_(Settings), Sites_(countDataCentres(Offers)),
        State_(State) {
    for (auto const &Count : planPlacement(Need, Offers))
      Planned_[Count.Slot_] = Count.Count_;
    for (auto const &Offer : Offers)
      Costs_[Offer.Slot_] = weightedCost(Offer, Need);
  }

  void startMissing() {
    while (!meetsRequirement(State_.Present_, Need_.Servers_, Sites_) &&
           startLargestShortfall())
      continue;
  }

  void startCheaper(Service const &Owner, OrderRecord const &Record) {
    double PlanCost = 0;
    double Missing = 0;
    for (auto const &[Slot, Count] : Planned_) {
      auto const Existing = std::min(Count, countIn(State_.Present_, Slot));
      PlanCost += Count * Costs_[Slot];
      Missing += (Count - Existing) * Costs_[Slot];
    }
    if (surplusCost(Owner, Record) - Missing < Settings_.MinSaving_ * PlanCost)
      return;
    while (startLargestShortfall())
      continue;
  }

  void stopSurplus(Service const &Owner, OrderRecord const &Record) {
    for (auto const &Order : Record.Orders_) {
      if (Order.Service_ != Owner.Name_ || Order.State_ != OrderState::Started)
        continue;
      if (isSurplus(Order.Slot_) && tryRemove(Order))
        Change_.Stops_.push_back(Order.OrderId_);
    }
  }

  bool hasStarts() const { return !Change_.Starts_.empty(); }
  PlacementChange const &change() const { return Change_; }

private:
  static std::uint32_t countIn(SlotCounts const &Counts,
                               PlacementSlot const &Slot) {
    auto const Found = Counts.find(Slot);
    return Found == Counts.end() ? 0 : Found->second;
  }

  bool isSurplus(PlacementSlot const &Slot) const {
    return countIn(State_.Present_, Slot) > countIn(Planned_, Slot);
  }

  bool startLargestShortfall() {
    auto const Slot = largestShortfall(Planned_, State_.Present_);
    if (!Slot)
      return false;
    ++State_.Present_[*Slot];
    Change_.Starts_.push_back(*Slot);
    return true;
  }

  /// Returns the weighted cost of the ordered servers in excess of the plan.
  double surplusCost(Service const &Owner, OrderRecord const &Record) {
    auto Remaining = State_.Present_;
    double Sum = 0;
    for (auto const &Order : Record.Orders_) {
      if (Order.Service_ != Owner.Name_ ||
          Order.State_ != OrderState::Started ||
          countIn(Remaining, Order.Slot_) <= countIn(Planned_, Order.Slot_))
        continue;
      --Remaining[Order.Slot_];
      Sum += Costs_[Order.Slot_];
    }
    return Sum;
  }

  /// Removes the server from the counts and returns true if the requirement is
  /// still met without it.
  bool tryRemove(ServerOrder const &Order) {
    auto Started = State_.Started_;
    auto Serving = State_.Serving_;
    if (countIn(Started, Order.Slot_) == 0)
      return false;
    --Started[Order.Slot_];
    if (!meetsRequirement(Started, Need_.Servers_, Sites_))
      return false;
    if (State_.Introduced_.contains(Order.Server_)) {
      if (countIn(Serving, Order.Slot_) > 0)
        --Serving[Order.Slot_];
      if (!meetsRequirement(Serving, Need_.Servers_, Sites_))
        return false;
    }
    --State_.Present_[Order.Slot_];
    State_.Started_ = std::move(Started);
    State_.Serving_ = std::move(Serving);
    return true;
  }

  PlacementNeed const &Need_;
  PlacementSettings const &Settings_;
  std::size_t const Sites_;
  PlacementState State_;
  SlotCounts Planned_;
  std::map<PlacementSlot, double> Costs_;
  PlacementChange Change_;
};

} // namespace

std::vector<PlacementOffer> offersFor(Service const &Owner,
                                      Configuration const &InForce,
                                      ReclaimRates const &Rates,
                                      std::set<PlacementSlot> const &Refused,
                                      PlacementSettings const &Settings) {
  PriceTable const Prices(InForce, Settings);
  auto AllowedCentres = Owner.Placement_.DataCentres_;
  if (AllowedCentres.empty())
    AllowedCentres = Prices.dataCentres();
  std::vector<PlacementOffer> Offers;
  for (auto const &Name : AllowedCentres)
    for (auto const Terms :
         {CapacityType::Reclaimable, CapacityType::OnDemand}) {
      PlacementSlot const Slot{Name, Terms};
      bool const IsStable = Terms == CapacityType::OnDemand;
      if (!Refused.contains(Slot))
        Offers.push_back(
            {Slot, Prices.price(Slot), IsStable ? 0.0 : Rates.perHour(Name)});
    }
  return Offers;
}

PlacementState stateOf(Service const &Owner, Configuration const &InForce,
                       servers::Departures const &Departures,
                       OrderRecord const &Record) {
  PlacementState State;
  std::set<ServerId> Ordered;
  std::set<ServerId> Stopping;
  for (auto const &Order : Record.Orders_) {
    Ordered.insert(Order.Server_);
    if (Order.State_ == OrderState::Stopping)
      Stopping.insert(Order.Server_);
    if (Order.State_ == OrderState::Stopping || Order.Service_ != Owner.Name_ ||
        Departures.contains(Order.Server_))
      continue;
    ++State.Present_[Order.Slot_];
    if (Order.State_ == OrderState::Started)
      ++State.Started_[Order.Slot_];
  }
  for (auto const &Server : InForce.serversOf(Owner.Name_)) {
    if (Departures.contains(Server.Id_) || Stopping.contains(Server.Id_))
      continue;
    State.Introduced_.insert(Server.Id_);
    ++State.Serving_[slotOf(Server)];
    if (Ordered.contains(Server.Id_))
      continue;
    ++State.Present_[slotOf(Server)];
    ++State.Started_[slotOf(Server)];
  }
  return State;
}

PlacementChange changeFor(Service const &Owner,
                          std::vector<PlacementOffer> const &Offers,
                          PlacementState const &State,
                          OrderRecord const &Record,
                          PlacementSettings const &Settings) {
  PlacementNeed Need;
  Need.Servers_ = Owner.Placement_.DesiredServers_;
  Need.OnDemandShare_ = Owner.Placement_.OnDemandShare_;
  Need.Weights_ = Owner.Weights_;
  if (Owner.Kind_ == ServiceKind::Model)
    Need.TokensPerReclaim_ = Settings.TokensPerReclaim_;
  ChangeBuilder Builder(Need, Offers, State, Settings);
  Builder.startMissing();
  if (!Builder.hasStarts() && !State.HasRefusals_) {
    Builder.startCheaper(Owner, Record);
    Builder.stopSurplus(Owner, Record);
  }
  return Builder.change();
}

} // namespace laburnum
