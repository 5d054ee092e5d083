#include <LibControl/CapacityPlanner.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

/// Weight of the newest reading of the demand: a second's worth of readings.
constexpr double DemandWeight = 0.2;
/// Weights of the newest reading of how long a request takes, while servers
/// are not overfull and while they are.
constexpr double UsualWeight = 0.02;
constexpr double OverfullWeight = 0.004;
/// Until it was watched, a request is taken to last at most this part of the
/// latency target: servers with room answer well within it.
constexpr double FirstPartOfTarget = 0.35;
/// Servers are overfull above this multiple of the utilisation aimed at.
constexpr double OverfullFrom = 1.3;
/// A request takes at most this multiple of its usual time in the reckoning.
constexpr double MostOfUsual = 1.3;
/// An ordered server is in the list by this long after its boot time.
constexpr std::chrono::milliseconds ListingAllowance{1500};
/// Reclaimable servers that are missing are asked for again after this.
constexpr std::chrono::milliseconds ReorderPause{1000};

/// Adds a reading and yields the highest one that still counts.
std::uint32_t highest(std::deque<std::pair<TimePoint, std::uint32_t>> &Readings,
                      std::uint32_t Newest, Duration Retention, TimePoint Now) {
  while (!Readings.empty() && (Readings.front().first + Retention < Now))
    Readings.pop_front();
  while (!Readings.empty() && Readings.back().second <= Newest)
    Readings.pop_back();
  Readings.emplace_back(Now, Newest);
  return Readings.front().second;
}

template <typename Counts>
std::uint32_t countOf(Counts const &Ready, CapacityType Kind) {
  std::uint32_t Sum = 0;
  for (auto const &[Place, Count] : Ready)
    if (Place.CapacityType_ == Kind)
      Sum += Count;
  return Sum;
}

template <typename Counts, typename Slot>
std::uint32_t countAt(Counts const &Ready, Slot const &Place) {
  auto const Found = Ready.find(Place);
  return Found == Ready.end() ? 0 : Found->second;
}

std::uint32_t roundUp(double Value) {
  return static_cast<std::uint32_t>(std::ceil(Value - 1e-9));
}

} // namespace

void CapacityPlanner::reset() {
  Sent_.clear();
  RefusedUntil_.clear();
  OnDemandNeeds_.clear();
}

void CapacityPlanner::learnUsualTime(double Taken, double Fullness,
                                     Duration Target) {
  // What is seen first may be the jam after a restart of all instances.
  if (!UsualTime_)
    UsualTime_ =
        std::min(Taken, FirstPartOfTarget *
                            std::chrono::duration<double>(Target).count());
  auto const Weight =
      Fullness > OverfullFrom * Settings_.Utilisation_ && Taken > *UsualTime_
          ? OverfullWeight
          : UsualWeight;
  *UsualTime_ += Weight * (Taken - *UsualTime_);
}

std::uint32_t CapacityPlanner::retainedNeed(CapacityInput const &Input,
                                            std::size_t Ready, TimePoint Now) {
  Requests_ += DemandWeight * (Input.Demand_.Requests_ - Requests_);
  PerSecond_ += DemandWeight * (Input.Demand_.PerSecond_ - PerSecond_);
  auto const Slots = static_cast<double>(std::max(1U, Input.Slots_));
  double Busy = Requests_;
  if (PerSecond_ >= 1.0) {
    auto const Servers = static_cast<double>(std::max<std::size_t>(1, Ready));
    learnUsualTime(Requests_ / PerSecond_, Requests_ / (Slots * Servers),
                   Input.LatencyTarget_);
    Busy = std::min(Busy, PerSecond_ * *UsualTime_ * MostOfUsual);
  }
  return highest(Needs_, roundUp(Busy / (Settings_.Utilisation_ * Slots)),
                 Settings_.NeedRetention_, Now);
}

/// The list lags behind an order that takes servers away: those count as gone
/// already, or the next order would bring them back.
CapacityPlanner::Counts CapacityPlanner::ready(CapacityInput const &Input,
                                               TimePoint Now) const {
  Counts Ready;
  for (auto const &Server : Input.Servers_)
    if (Server.Service_ == Input.Service_ &&
        Server.Phase_ == ServerPhase::Ready)
      ++Ready[{Server.DataCentre_, Server.IsReclaimable_
                                       ? CapacityType::Reclaimable
                                       : CapacityType::OnDemand}];
  for (auto &[Place, Count] : Ready) {
    auto const Found = Sent_.find(Place);
    if (Found != Sent_.end() && Found->second.At_ + ListingAllowance > Now)
      Count = std::min(Count, Found->second.Count_);
  }
  return Ready;
}

bool CapacityPlanner::isWarm(TimePoint Now) const {
  return DemandSince_ && *DemandSince_ + Settings_.WarmUp_ <= Now;
}

bool CapacityPlanner::isRefused(Slot const &Place, TimePoint Now) const {
  auto const Found = RefusedUntil_.find(Place);
  return Found != RefusedUntil_.end() && Found->second > Now;
}

std::vector<DataCentre>
CapacityPlanner::cheapestFirst(ScalingBounds const &Bounds) const {
  std::vector<DataCentre> Centres;
  for (auto const &[Centre, Price] : Bounds.Prices_)
    Centres.push_back(Centre);
  std::stable_sort(Centres.begin(), Centres.end(),
                   [&](DataCentre const &Left, DataCentre const &Right) {
                     return Bounds.Prices_.at(Left) < Bounds.Prices_.at(Right);
                   });
  return Centres;
}

std::uint32_t CapacityPlanner::reclaimableOnTheWay(CapacityInput const &Input,
                                                   Counts const &Ready,
                                                   TimePoint Now) const {
  std::uint32_t Coming = 0;
  for (auto const &[Place, Order] : Sent_) {
    // Those beyond what was there when the order was sent: what has left since
    // then does not come back by itself.
    auto const Present = std::max(Order.Present_, countAt(Ready, Place));
    if (Place.CapacityType_ == CapacityType::Reclaimable &&
        !isRefused(Place, Now) &&
        Order.At_ + Input.Bounds_.BootTime_ + ListingAllowance > Now &&
        Order.Count_ > Present)
      Coming += Order.Count_ - Present;
  }
  return Coming;
}

/// On-demand servers: the base, what reclaimable ones fall short of the need,
/// and what a slow shrink leaves for now. A server that is on its way spares an
/// order for another, but takes the place of none yet.
std::uint32_t CapacityPlanner::onDemandTotal(CapacityInput const &Input,
                                             Counts const &Ready,
                                             std::uint32_t Need,
                                             TimePoint Now) {
  auto const OnDemand = countOf(Ready, CapacityType::OnDemand);
  auto const Reclaimable = countOf(Ready, CapacityType::Reclaimable);
  auto const Base = roundUp(Need * Settings_.OnDemandPart_);
  auto const Besides = [&](std::uint32_t Others) {
    return Need > Base + Others ? Need - Base - Others : 0;
  };
  auto const Coming = reclaimableOnTheWay(Input, Ready, Now);
  auto const Wanted =
      highest(OnDemandNeeds_, Base + Besides(Reclaimable + Coming),
              Settings_.NeedRetention_, Now);
  if (Wanted >= OnDemand)
    return Wanted;
  auto const Enough = std::max(Wanted, Base + Besides(Reclaimable));
  if (!isWarm(Now) || Enough >= OnDemand ||
      LastShrink_ + Settings_.ShrinkPause_ > Now)
    return OnDemand;
  auto const Step = std::max(1U, roundUp(OnDemand * Settings_.ShrinkStep_));
  LastShrink_ = Now;
  return std::max(Enough, OnDemand - std::min(Step, OnDemand));
}

CapacityPlanner::Counts CapacityPlanner::desired(CapacityInput const &Input,
                                                 Counts const &Ready,
                                                 std::uint32_t Need,
                                                 TimePoint Now) {
  auto const &Bounds = Input.Bounds_;
  auto const Centres = cheapestFirst(Bounds);
  auto const Spread = static_cast<std::uint32_t>(Centres.size());
  auto const OnDemand = onDemandTotal(Input, Ready, Need, Now);
  auto const Reclaimable = roundUp(Need * Settings_.ReclaimablePart_);
  Counts Wanted;
  for (std::uint32_t Place = 0; Place < Spread; ++Place) {
    auto const &Centre = Centres[Place];
    // The cheapest data centres take what does not divide evenly.
    auto const Extra = Place < OnDemand % Spread ? 1U : 0U;
    auto const Base = std::min(OnDemand / Spread + Extra, Bounds.Maximum_);
    auto const Room = Bounds.Maximum_ - Base;
    auto Part = std::min((Reclaimable + Spread - 1) / Spread, Room);
    if (!isWarm(Now))
      Part = std::max(Part,
                      countAt(Ready, Slot{Centre, CapacityType::Reclaimable}));
    auto const Least =
        Bounds.Minimum_ > Base + Part ? Bounds.Minimum_ - Part : Base;
    Wanted[{Centre, CapacityType::OnDemand}] = Least;
    Wanted[{Centre, CapacityType::Reclaimable}] = Part;
  }
  return Wanted;
}

bool CapacityPlanner::isDue(Slot const &Place, std::uint32_t Wanted,
                            std::uint32_t Ready, ScalingBounds const &Bounds,
                            TimePoint Now) const {
  if (isRefused(Place, Now))
    return false;
  auto const Found = Sent_.find(Place);
  if (Found == Sent_.end())
    return Wanted != Ready;
  auto const &Last = Found->second;
  if (Last.Count_ != Wanted)
    return true;
  // The platform starts and stops them in its own time; what is still missing
  // then was taken away.
  auto const Patience =
      Place.CapacityType_ == CapacityType::Reclaimable && Ready == 0
          ? Duration(ReorderPause) + Bounds.BootTime_
          : Bounds.BootTime_ + ListingAllowance;
  return Ready < Wanted && Last.At_ + Patience <= Now;
}

void CapacityPlanner::observe(CapacityInput const &Input, TimePoint Now) {
  if (!DemandSince_ && Input.Demand_.Requests_ >= 1.0)
    DemandSince_ = Now;
  if (!DemandSince_)
    return;
  auto const Ready = ready(Input, Now);
  LastNeed_ = retainedNeed(Input,
                           countOf(Ready, CapacityType::OnDemand) +
                               countOf(Ready, CapacityType::Reclaimable),
                           Now);
}

std::vector<ServerOrder> CapacityPlanner::plan(CapacityInput const &Input,
                                               TimePoint Now) {
  auto const Ready = ready(Input, Now);
  auto const Servers = countOf(Ready, CapacityType::OnDemand) +
                       countOf(Ready, CapacityType::Reclaimable);
  // Without a list nothing is known, and no order may shrink what is there.
  if (Servers == 0 && Sent_.empty())
    return {};
  if (!DemandSince_)
    return {};
  std::vector<ServerOrder> Orders;
  for (auto const &[Place, Wanted] : desired(Input, Ready, LastNeed_, Now)) {
    auto const Present = countAt(Ready, Place);
    if (!isDue(Place, Wanted, Present, Input.Bounds_, Now))
      continue;
    Sent_[Place] = {Wanted, Present, Now};
    Orders.push_back(
        {Input.Service_, Place.DataCentre_, Place.CapacityType_, Wanted});
  }
  return Orders;
}

void CapacityPlanner::onRefused(ServerOrder const &Order, TimePoint Now) {
  Slot const Place{Order.DataCentre_, Order.CapacityType_};
  RefusedUntil_[Place] = Now + Settings_.RefusalPause_;
  Sent_.erase(Place);
}

void CapacityPlanner::onLost(ServerOrder const &Order) {
  Sent_.erase({Order.DataCentre_, Order.CapacityType_});
}

} // namespace laburnum
