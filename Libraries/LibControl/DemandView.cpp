#include <LibControl/DemandView.h>

namespace laburnum {

namespace {

/// Reports come four times a second.
constexpr std::chrono::milliseconds Validity{1500};

} // namespace

void DemandView::onReport(InstanceId const &From,
                          std::vector<ServiceDemand> const &Services,
                          TimePoint Now) {
  Instances_[From] = {Services, Now};
  std::erase_if(Instances_, [&](auto const &One) {
    return One.second.At_ + Validity < Now;
  });
}

double DemandView::demand(ServiceName const &Service, TimePoint Now) const {
  double Sum = 0.0;
  for (auto const &[Id, Told] : Instances_)
    if (Told.At_ + Validity >= Now)
      for (auto const &One : Told.Services_)
        if (One.Service_ == Service)
          Sum += One.Running_ + One.Waiting_;
  return Sum;
}

} // namespace laburnum
