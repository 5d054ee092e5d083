#include "TrafficView.h"

namespace laburnum {

std::shared_ptr<Configuration const> TrafficView::configuration() const {
  std::lock_guard const Lock(Mutex_);
  return Configuration_;
}

void TrafficView::setConfiguration(std::shared_ptr<Configuration const> Next) {
  std::lock_guard const Lock(Mutex_);
  Configuration_ = std::move(Next);
}

std::shared_ptr<servers::Departures const> TrafficView::departures() const {
  std::lock_guard const Lock(Mutex_);
  return Departures_;
}

void TrafficView::setDepartures(
    std::shared_ptr<servers::Departures const> Next) {
  std::lock_guard const Lock(Mutex_);
  Departures_ = std::move(Next);
}

std::optional<Duration> TrafficView::remaining(ServerId const &Server,
                                               TimePoint Now) const {
  auto const Departing = departures();
  auto const Found = Departing->find(Server);
  if (Found == Departing->end())
    return std::nullopt;
  auto const &GoneAt = Found->second.GoneAt_;
  if (!GoneAt || *GoneAt <= Now)
    return Duration::zero();
  return *GoneAt - Now;
}

} // namespace laburnum
