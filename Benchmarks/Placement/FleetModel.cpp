#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace laburnum::bench {

namespace {

constexpr int Minutes = 90 * 24 * 60;
constexpr double MinutesPerHour = 60;
/// The share of a data centre's reclaimable servers that one wave takes.
constexpr double WaveShare = 0.7;
constexpr int RefusedFor = 30; ///< Minutes after a wave.
constexpr int StartDelay = 2;  ///< Minutes from the order to serving.

class Fleet {
public:
  Fleet(Workload const &Given, std::uint64_t Seed)
      : Given_(Given), Generator_(Seed) {
    Settings_.TokensPerReclaim_ = Given_.Need_.TokensPerReclaim_;
    Owner_.Name_ = ServiceName(Given_.Name_);
    Owner_.Kind_ = ServiceKind::Model;
    Owner_.Weights_ = Given_.Need_.Weights_;
    Owner_.Placement_.DesiredServers_ = Given_.Need_.Servers_;
    replace();
    for (auto &One : Record_.Orders_)
      begin(One);
    Starting_.clear();
  }

  Outcome run() {
    for (Minute_ = 0; Minute_ < Minutes; ++Minute_) {
      reclaim();
      arrive();
      replace();
      observe();
    }
    Seen_.PricePerHour_ /= Minutes;
    Seen_.OnDemand_ /= Minutes;
    Seen_.TimeAtTarget_ /= Minutes;
    Seen_.RecomputedPerHour_ *= MinutesPerHour / Minutes;
    return Seen_;
  }

private:
  /// Draws the same numbers whatever the policy, so that all see one weather.
  void reclaim() {
    std::uniform_real_distribution<double> Even(0, 1);
    std::map<DataCentre, double> Rates;
    for (auto const &Offer : Given_.Offers_)
      Rates[Offer.Slot_.DataCentre_] =
          std::max(Rates[Offer.Slot_.DataCentre_], Offer.ReclaimsPerHour_);
    for (auto const &[Where, Rate] : Rates)
      if (Even(Generator_) < Rate / WaveShare / MinutesPerHour)
        wave({Where, CapacityType::Reclaimable});
  }

  void wave(PlacementSlot const &Slot) {
    RefusedUntil_[Slot] = Minute_ + RefusedFor;
    double Held = 0;
    for (auto const &One : Record_.Orders_)
      Held += One.Slot_ == Slot && One.State_ == OrderState::Started ? 1 : 0;
    auto Left = std::lround(Held * WaveShare);
    Seen_.RecomputedPerHour_ += Left * Given_.Need_.TokensPerReclaim_;
    std::erase_if(Record_.Orders_, [&](ServerOrder const &One) {
      return One.Slot_ == Slot && One.State_ == OrderState::Started &&
             Left-- > 0;
    });
  }

  static void begin(ServerOrder &One) {
    One.State_ = OrderState::Started;
    One.Server_ = ServerId(One.OrderId_);
  }

  void arrive() {
    auto const Due = Starting_.find(Minute_);
    if (Due == Starting_.end())
      return;
    for (auto &One : Record_.Orders_)
      if (Due->second.contains(One.OrderId_))
        begin(One);
    Starting_.erase(Due);
  }

  /// A reclaim within the start's delay is not modelled; a stop takes effect
  /// at once.
  void replace() {
    PlacementState State;
    auto const Offers = offers(State);
    for (auto const &One : Record_.Orders_) {
      ++State.Present_[One.Slot_];
      if (One.State_ != OrderState::Started)
        continue;
      ++State.Serving_[One.Slot_];
      State.Introduced_.insert(One.Server_);
    }
    State.Started_ = State.Serving_;
    auto const Change = changeFor(Owner_, Offers, State, Record_, Settings_);
    for (auto const &Slot : Change.Starts_) {
      addOrder(Record_, Owner_.Name_, Slot);
      Starting_[Minute_ + StartDelay].insert(Record_.Orders_.back().OrderId_);
    }
    for (auto const &Id : Change.Stops_)
      std::erase_if(Record_.Orders_,
                    [&](ServerOrder const &One) { return One.OrderId_ == Id; });
  }

  std::vector<PlacementOffer> offers(PlacementState &State) const {
    auto Offers = Given_.Offers_;
    std::erase_if(Offers, [&](PlacementOffer const &One) {
      auto const Found = RefusedUntil_.find(One.Slot_);
      return Found != RefusedUntil_.end() && Minute_ < Found->second;
    });
    State.HasRefusals_ = Offers.size() < Given_.Offers_.size();
    return Offers;
  }

  void observe() {
    std::uint32_t Serving = 0;
    for (auto const &One : Record_.Orders_) {
      Seen_.PricePerHour_ += priceOf(One.Slot_);
      Seen_.OnDemand_ +=
          One.Slot_.CapacityType_ == CapacityType::OnDemand ? 1 : 0;
      Serving += One.State_ == OrderState::Started ? 1 : 0;
    }
    Seen_.TimeAtTarget_ += Serving >= Given_.Need_.Servers_ ? 1 : 0;
  }

  double priceOf(PlacementSlot const &Slot) const {
    for (auto const &Offer : Given_.Offers_)
      if (Offer.Slot_ == Slot)
        return Offer.PricePerHour_;
    return 0;
  }

  Workload const &Given_;
  std::mt19937_64 Generator_;
  PlacementSettings Settings_;
  Service Owner_;
  int Minute_ = 0;
  OrderRecord Record_;
  std::map<int, std::set<std::string>> Starting_; ///< By minute of arrival.
  std::map<PlacementSlot, int> RefusedUntil_;
  Outcome Seen_;
};

} // namespace

Outcome simulate(Workload const &Given, std::uint64_t Seed) {
  return Fleet(Given, Seed).run();
}

} // namespace laburnum::bench
