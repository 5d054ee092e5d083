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
/// The share of a data centre's reclaimable servers taken by a reclaim wave.
constexpr double WaveShare = 0.7;
constexpr int RefusalMinutes = 30;   ///< Minutes after a wave.
constexpr int StartDelayMinutes = 2; ///< Minutes from the order to serving.

class Fleet {
public:
  Fleet(Workload const &Simulated, std::uint64_t Seed)
      : Workload_(Simulated), Generator_(Seed) {
    Settings_.TokensPerReclaim_ = Workload_.Need_.TokensPerReclaim_;
    Service_.Name_ = ServiceName(Workload_.Name_);
    Service_.Kind_ = ServiceKind::Model;
    Service_.Weights_ = Workload_.Need_.Weights_;
    Service_.Placement_.DesiredServers_ = Workload_.Need_.Servers_;
    replan();
    for (auto &One : Record_.Orders_)
      markStarted(One);
    Starting_.clear();
  }

  Outcome run() {
    for (Minute_ = 0; Minute_ < Minutes; ++Minute_) {
      reclaim();
      finishStarts();
      replan();
      observe();
    }
    Outcome_.PricePerHour_ /= Minutes;
    Outcome_.OnDemand_ /= Minutes;
    Outcome_.TimeAtTarget_ /= Minutes;
    Outcome_.RecomputedPerHour_ *= MinutesPerHour / Minutes;
    return Outcome_;
  }

private:
  /// Draws the same random numbers for every policy, so that all policies are
  /// compared under the same reclaim waves.
  void reclaim() {
    std::uniform_real_distribution<double> Uniform(0, 1);
    std::map<DataCentre, double> Rates;
    for (auto const &Offer : Workload_.Offers_)
      Rates[Offer.Slot_.DataCentre_] =
          std::max(Rates[Offer.Slot_.DataCentre_], Offer.ReclaimsPerHour_);
    for (auto const &[Where, Rate] : Rates)
      if (Uniform(Generator_) < Rate / WaveShare / MinutesPerHour)
        runReclaimWave({Where, CapacityType::Reclaimable});
  }

  void runReclaimWave(PlacementSlot const &Slot) {
    RefusedUntil_[Slot] = Minute_ + RefusalMinutes;
    double Affected = 0;
    for (auto const &One : Record_.Orders_)
      Affected +=
          One.Slot_ == Slot && One.State_ == OrderState::Started ? 1 : 0;
    auto Left = std::lround(Affected * WaveShare);
    Outcome_.RecomputedPerHour_ += Left * Workload_.Need_.TokensPerReclaim_;
    std::erase_if(Record_.Orders_, [&](ServerOrder const &One) {
      return One.Slot_ == Slot && One.State_ == OrderState::Started &&
             Left-- > 0;
    });
  }

  static void markStarted(ServerOrder &One) {
    One.State_ = OrderState::Started;
    One.Server_ = ServerId(One.OrderId_);
  }

  void finishStarts() {
    auto const Due = Starting_.find(Minute_);
    if (Due == Starting_.end())
      return;
    for (auto &One : Record_.Orders_)
      if (Due->second.contains(One.OrderId_))
        markStarted(One);
    Starting_.erase(Due);
  }

  /// Reclaims during the start delay are not modelled; stops take effect at
  /// once.
  void replan() {
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
    auto const Change = changeFor(Service_, Offers, State, Record_, Settings_);
    for (auto const &Slot : Change.Starts_) {
      addOrder(Record_, Service_.Name_, Slot);
      Starting_[Minute_ + StartDelayMinutes].insert(
          Record_.Orders_.back().OrderId_);
    }
    for (auto const &Id : Change.Stops_)
      std::erase_if(Record_.Orders_,
                    [&](ServerOrder const &One) { return One.OrderId_ == Id; });
  }

  std::vector<PlacementOffer> offers(PlacementState &State) const {
    auto Offers = Workload_.Offers_;
    std::erase_if(Offers, [&](PlacementOffer const &One) {
      auto const Found = RefusedUntil_.find(One.Slot_);
      return Found != RefusedUntil_.end() && Minute_ < Found->second;
    });
    State.HasRefusals_ = Offers.size() < Workload_.Offers_.size();
    return Offers;
  }

  void observe() {
    std::uint32_t Serving = 0;
    for (auto const &One : Record_.Orders_) {
      Outcome_.PricePerHour_ += priceOf(One.Slot_);
      Outcome_.OnDemand_ +=
          One.Slot_.CapacityType_ == CapacityType::OnDemand ? 1 : 0;
      Serving += One.State_ == OrderState::Started ? 1 : 0;
    }
    Outcome_.TimeAtTarget_ += Serving >= Workload_.Need_.Servers_ ? 1 : 0;
  }

  double priceOf(PlacementSlot const &Slot) const {
    for (auto const &Offer : Workload_.Offers_)
      if (Offer.Slot_ == Slot)
        return Offer.PricePerHour_;
    return 0;
  }

  Workload const &Workload_;
  std::mt19937_64 Generator_;
  PlacementSettings Settings_;
  Service Service_;
  int Minute_ = 0;
  OrderRecord Record_;
  std::map<int, std::set<std::string>> Starting_; ///< By minute of arrival.
  std::map<PlacementSlot, int> RefusedUntil_;
  Outcome Outcome_;
};

} // namespace

Outcome simulate(Workload const &Simulated, std::uint64_t Seed) {
  return Fleet(Simulated, Seed).run();
}

} // namespace laburnum::bench
