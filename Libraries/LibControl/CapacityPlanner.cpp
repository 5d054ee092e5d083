#include <LibControl/CapacityPlanner.h>

#include <LibTraffic/ServiceWorkMeter.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

/// Smoothing weight of the newest demand sample: averages over about a second.
constexpr double DemandWeight = 0.2;
/// Smoothing weights of the newest request duration, while servers are not
/// overloaded and while they are.
constexpr double TypicalWeight = 0.02;
constexpr double OverloadWeight = 0.004;
/// Upper bound of the first estimate of a request's duration, as a fraction of
/// the latency target: servers with free slots answer well within it.
constexpr double InitialShareOfTarget = 0.35;
/// Servers count as overloaded above this multiple of the target utilisation.
constexpr double OverloadFactor = 1.3;
/// Limits the request duration used for the need to this multiple of the
/// typical one.
constexpr double MaxTimeFactor = 1.3;
/// The mean wait for a server that reads prompts, as a fraction of the latency
/// target: one wait in twenty is three times as long as their mean.
constexpr double WaitShareOfTarget = 1.0 / 3.0;
/// Bounds of the part of their time that such servers read, and the step in
/// which it is searched.
constexpr double MinWorkUtilisation = 0.3;
constexpr double MaxWorkUtilisation = 0.75;
constexpr double WorkUtilisationStep = 0.01;
/// Time after its boot time until an ordered server appears in the list.
constexpr std::chrono::milliseconds ListingAllowance{1500};
/// Missing reclaimable servers are ordered again after this time.
constexpr std::chrono::milliseconds ReorderInterval{1000};

/// Adds a sample and returns the highest one within the retention time.
std::uint32_t highest(std::deque<std::pair<TimePoint, std::uint32_t>> &Readings,
                      std::uint32_t Newest, Duration Retention, TimePoint Now) {
  while (!Readings.empty() && (Readings.front().first + Retention < Now))
    Readings.pop_front();
  while (!Readings.empty() && Readings.back().second <= Newest)
    Readings.pop_back();
  Readings.emplace_back(Now, Newest);
  return Readings.front().second;
}

/// Returns the largest part of its time that a server may read. It takes urgent
/// requests first and interrupts none. A request finds the residual of the
/// one that is being read with the probability of the utilisation U, and the
/// mean waits are, A being the urgent share (Cobham):
///   urgent ones  U * Residual / (1 - A * U),
///   the others   the same / (1 - U).
double workUtilisation(std::chrono::duration<double> Residual,
                       double UrgentShare, Duration UrgentTarget,
                       Duration OtherTarget) {
  auto const Seconds = [](Duration Target) {
    return WaitShareOfTarget * std::chrono::duration<double>(Target).count();
  };
  auto Best = MinWorkUtilisation;
  for (auto Part = MinWorkUtilisation; Part <= MaxWorkUtilisation;
       Part += WorkUtilisationStep) {
    auto const Urgent = Part * Residual.count() / (1.0 - UrgentShare * Part);
    if (Urgent > Seconds(UrgentTarget) ||
        Urgent / (1.0 - Part) > Seconds(OtherTarget))
      break;
    Best = Part;
  }
  return Best;
}

template <typename Counts>
std::uint32_t countOf(Counts const &Ready, CapacityType Kind) {
  std::uint32_t Sum = 0;
  for (auto const &[Pool, Count] : Ready)
    if (Pool.CapacityType_ == Kind)
      Sum += Count;
  return Sum;
}

template <typename Counts, typename ServerPool>
std::uint32_t countAt(Counts const &Ready, ServerPool const &Pool) {
  auto const Found = Ready.find(Pool);
  return Found == Ready.end() ? 0 : Found->second;
}

std::uint32_t roundUp(double Value) {
  return static_cast<std::uint32_t>(std::ceil(Value - 1e-9));
}

} // namespace

void CapacityPlanner::reset() {
  PendingOrders_.clear();
  RefusedUntil_.clear();
  OnDemandNeeds_.clear();
}

void CapacityPlanner::updateTypicalTime(double RequestTime, double Fullness,
                                        Duration Target) {
  // The first sample may come from the backlog after a restart of all
  // instances.
  if (!TypicalTime_)
    TypicalTime_ = std::min(RequestTime,
                            InitialShareOfTarget *
                                std::chrono::duration<double>(Target).count());
  auto const Weight = Fullness > OverloadFactor * Settings_.Utilisation_ &&
                              RequestTime > *TypicalTime_
                          ? OverloadWeight
                          : TypicalWeight;
  *TypicalTime_ += Weight * (RequestTime - *TypicalTime_);
}

std::uint32_t CapacityPlanner::retainedNeed(CapacityInput const &Input,
                                            std::size_t Ready, TimePoint Now) {
  Requests_ += DemandWeight * (Input.Demand_.Requests_ - Requests_);
  PerSecond_ += DemandWeight * (Input.Demand_.PerSecond_ - PerSecond_);
  auto const Slots = static_cast<double>(std::max(1U, Input.Slots_));
  double Busy = Requests_;
  if (PerSecond_ >= 1.0) {
    auto const Servers = static_cast<double>(std::max<std::size_t>(1, Ready));
    updateTypicalTime(Requests_ / PerSecond_, Requests_ / (Slots * Servers),
                      Input.LatencyTarget_);
    Busy = std::min(Busy, PerSecond_ * *TypicalTime_ * MaxTimeFactor);
  }
  LastNeedByWork_ = roundUp(serversForWork(Input));
  return highest(Needs_,
                 std::max(roundUp(Busy / (Settings_.Utilisation_ * Slots)),
                          LastNeedByWork_),
                 Settings_.NeedRetention_, Now);
}

/// Returns how many servers read the prompts so that few requests wait longer
/// than they may.
double CapacityPlanner::serversForWork(CapacityInput const &Input) {
  if (!Input.Work_)
    return 0.0;
  auto const &Work = *Input.Work_;
  TokensPerSecond_ +=
      DemandWeight *
      (static_cast<double>(Work.UnsharedPerSecond_) - TokensPerSecond_);
  auto const Speed = readingSpeed(Work);
  if (!Speed)
    return 0.0;
  std::chrono::duration<double> const Residual(residualTokens(Work) / *Speed);
  auto const UrgentShare =
      static_cast<double>(Work.UrgentPerSecond_) /
      std::max(1.0, static_cast<double>(Work.UnsharedPerSecond_));
  return TokensPerSecond_ /
         (*Speed * workUtilisation(Residual, std::min(UrgentShare, 1.0),
                                   Input.LatencyTarget_, Input.LongestTarget_));
}

/// Counts the ready servers per pool. The list lags behind a scale-down order:
/// servers beyond the ordered count are left out, or the next order would
/// bring them back.
CapacityPlanner::Counts CapacityPlanner::ready(CapacityInput const &Input,
                                               TimePoint Now) const {
  Counts Ready;
  for (auto const &Server : Input.Servers_)
    if (Server.Service_ == Input.Service_ &&
        Server.Phase_ == ServerPhase::Ready)
      ++Ready[{Server.DataCentre_, Server.IsReclaimable_
                                       ? CapacityType::Reclaimable
                                       : CapacityType::OnDemand}];
  for (auto &[Pool, Count] : Ready) {
    auto const Found = PendingOrders_.find(Pool);
    if (Found != PendingOrders_.end() &&
        Found->second.At_ + ListingAllowance > Now)
      Count = std::min(Count, Found->second.Count_);
  }
  return Ready;
}

bool CapacityPlanner::isWarm(TimePoint Now) const {
  return DemandSince_ && *DemandSince_ + Settings_.WarmUp_ <= Now;
}

bool CapacityPlanner::isRefused(ServerPool const &Pool, TimePoint Now) const {
  auto const Found = RefusedUntil_.find(Pool);
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

std::uint32_t CapacityPlanner::reclaimableStarting(CapacityInput const &Input,
                                                   Counts const &Ready,
                                                   TimePoint Now) const {
  std::uint32_t Starting = 0;
  for (auto const &[Pool, Order] : PendingOrders_) {
    // Only servers beyond those ready when the order was sent are starting:
    // servers that left since then do not come back by themselves.
    auto const ReadyCount =
        std::max(Order.ReadyWhenSent_, countAt(Ready, Pool));
    if (Pool.CapacityType_ == CapacityType::Reclaimable &&
        !isRefused(Pool, Now) &&
        Order.At_ + Input.Bounds_.BootTime_ + ListingAllowance > Now &&
        Order.Count_ > ReadyCount)
      Starting += Order.Count_ - ReadyCount;
  }
  return Starting;
}

/// Returns the number of on-demand servers: the base share, what reclaimable
/// servers fall short of the need, and what gradual scale-down leaves for now.
/// A starting server makes another order unnecessary, but does not replace a
/// running server yet.
std::uint32_t CapacityPlanner::onDemandTotal(CapacityInput const &Input,
                                             Counts const &Ready,
                                             std::uint32_t Need,
                                             TimePoint Now) {
  auto const OnDemand = countOf(Ready, CapacityType::OnDemand);
  auto const Reclaimable = countOf(Ready, CapacityType::Reclaimable);
  auto const Base = roundUp(Need * Settings_.OnDemandShare_);
  auto const Shortfall = [&](std::uint32_t Others) {
    return Need > Base + Others ? Need - Base - Others : 0;
  };
  auto const Starting = reclaimableStarting(Input, Ready, Now);
  auto const DesiredCount =
      highest(OnDemandNeeds_, Base + Shortfall(Reclaimable + Starting),
              Settings_.NeedRetention_, Now);
  if (DesiredCount >= OnDemand)
    return DesiredCount;
  auto const Floor = std::max(DesiredCount, Base + Shortfall(Reclaimable));
  if (!isWarm(Now) || Floor >= OnDemand ||
      LastShrink_ + Settings_.ShrinkInterval_ > Now)
    return OnDemand;
  auto const Step = std::max(1U, roundUp(OnDemand * Settings_.ShrinkStep_));
  LastShrink_ = Now;
  return std::max(Floor, OnDemand - std::min(Step, OnDemand));
}

CapacityPlanner::Counts CapacityPlanner::desired(CapacityInput const &Input,
                                                 Counts const &Ready,
                                                 std::uint32_t Need,
                                                 TimePoint Now) {
  auto const &Bounds = Input.Bounds_;
  auto const Centres = cheapestFirst(Bounds);
  auto const CentreCount = static_cast<std::uint32_t>(Centres.size());
  auto const OnDemand = onDemandTotal(Input, Ready, Need, Now);
  auto const Reclaimable = roundUp(Need * Settings_.ReclaimableShare_);
  Counts DesiredCount;
  for (std::uint32_t Index = 0; Index < CentreCount; ++Index) {
    auto const &Centre = Centres[Index];
    // The remainder goes to the cheapest data centres.
    auto const Extra = Index < OnDemand % CentreCount ? 1U : 0U;
    auto const Base = std::min(OnDemand / CentreCount + Extra, Bounds.Maximum_);
    auto const Remaining = Bounds.Maximum_ - Base;
    auto ReclaimableCount =
        std::min((Reclaimable + CentreCount - 1) / CentreCount, Remaining);
    if (!isWarm(Now))
      ReclaimableCount = std::max(
          ReclaimableCount,
          countAt(Ready, ServerPool{Centre, CapacityType::Reclaimable}));
    auto const MinOnDemand = Bounds.Minimum_ > Base + ReclaimableCount
                                 ? Bounds.Minimum_ - ReclaimableCount
                                 : Base;
    DesiredCount[{Centre, CapacityType::OnDemand}] = MinOnDemand;
    DesiredCount[{Centre, CapacityType::Reclaimable}] = ReclaimableCount;
  }
  return DesiredCount;
}

bool CapacityPlanner::isDue(ServerPool const &Pool, std::uint32_t DesiredCount,
                            std::uint32_t Ready, ScalingBounds const &Bounds,
                            TimePoint Now) const {
  if (isRefused(Pool, Now))
    return false;
  auto const Found = PendingOrders_.find(Pool);
  if (Found == PendingOrders_.end())
    return DesiredCount != Ready;
  auto const &Last = Found->second;
  if (Last.Count_ != DesiredCount)
    return true;
  // The platform takes time to start and stop servers; those still missing
  // after the timeout were reclaimed.
  auto const Timeout =
      Pool.CapacityType_ == CapacityType::Reclaimable && Ready == 0
          ? Duration(ReorderInterval) + Bounds.BootTime_
          : Bounds.BootTime_ + ListingAllowance;
  return Ready < DesiredCount && Last.At_ + Timeout <= Now;
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
  // Before the first list the existing servers are unknown, and an order could
  // remove some of them.
  if (Servers == 0 && PendingOrders_.empty())
    return {};
  if (!DemandSince_)
    return {};
  std::vector<ServerOrder> Orders;
  for (auto const &[Pool, DesiredCount] :
       desired(Input, Ready, LastNeed_, Now)) {
    auto const ReadyCount = countAt(Ready, Pool);
    if (!isDue(Pool, DesiredCount, ReadyCount, Input.Bounds_, Now))
      continue;
    PendingOrders_[Pool] = {DesiredCount, ReadyCount, Now};
    Orders.push_back(
        {Input.Service_, Pool.DataCentre_, Pool.CapacityType_, DesiredCount});
  }
  return Orders;
}

void CapacityPlanner::onRefused(ServerOrder const &Order, TimePoint Now) {
  ServerPool const Pool{Order.DataCentre_, Order.CapacityType_};
  RefusedUntil_[Pool] = Now + Settings_.RefusalBackoff_;
  PendingOrders_.erase(Pool);
}

void CapacityPlanner::onLost(ServerOrder const &Order) {
  PendingOrders_.erase({Order.DataCentre_, Order.CapacityType_});
}

} // namespace laburnum
