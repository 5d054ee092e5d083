#include <LibControl/DemandView.h>

#include <algorithm>

namespace laburnum {

namespace {

/// A report is valid until this many further reports are missed, and at least
/// for MinValidity.
constexpr int MissedReports = 3;
constexpr std::chrono::milliseconds MinValidity{1500};
/// Smoothing weight of the newest report in an instance's request rate.
constexpr double RateWeight = 0.4;

} // namespace

void DemandView::setPeriod(Duration Period) {
  Validity_ = std::max<Duration>(MinValidity, Period * MissedReports);
}

void DemandView::onReport(InstanceId const &From,
                          std::vector<ServiceDemand> const &Services,
                          TimePoint Now) {
  auto &Instance = Instances_[From];
  for (auto const &Demand : Services) {
    auto const [Found, IsNew] = Instance.try_emplace(Demand.Service_);
    auto &ReportedDemand = Found->second;
    auto const Span =
        std::chrono::duration<double>(Now - ReportedDemand.ReportedAt_).count();
    if (!IsNew && Span > 0.0 && Demand.Begun_ >= ReportedDemand.Last_.Begun_) {
      auto const Rate =
          static_cast<double>(Demand.Begun_ - ReportedDemand.Last_.Begun_) /
          Span;
      ReportedDemand.PerSecond_ +=
          RateWeight * (Rate - ReportedDemand.PerSecond_);
    }
    ReportedDemand.Last_ = Demand;
    ReportedDemand.ReportedAt_ = Now;
  }
}

double DemandView::perSecondAt(InstanceId const &Instance,
                               TimePoint Now) const {
  double Sum = 0.0;
  if (auto const Found = Instances_.find(Instance); Found != Instances_.end())
    for (auto const &[Service, Demand] : Found->second)
      if (Demand.ReportedAt_ + Validity_ >= Now)
        Sum += Demand.PerSecond_;
  return Sum;
}

FleetDemand DemandView::demand(ServiceName const &Service,
                               TimePoint Now) const {
  FleetDemand Sum;
  for (auto const &[Id, Services] : Instances_) {
    auto const Found = Services.find(Service);
    if (Found == Services.end() || Found->second.ReportedAt_ + Validity_ < Now)
      continue;
    Sum.Requests_ +=
        Found->second.Last_.Running_ + Found->second.Last_.Waiting_;
    Sum.PerSecond_ += Found->second.PerSecond_;
  }
  return Sum;
}

} // namespace laburnum
