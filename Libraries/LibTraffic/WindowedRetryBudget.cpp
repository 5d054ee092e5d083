#include <LibTraffic/WindowedRetryBudget.h>

namespace laburnum {

namespace {

/// Fraction of the bound that is used, because requests are counted here on
/// arrival, but by whoever checks the bound when they were sent.
constexpr double UsedFraction = 0.8;

void pruneBefore(std::deque<TimePoint> &Times, TimePoint Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

WindowedRetryBudget::Window &
WindowedRetryBudget::prune(ServiceName const &Service, TimePoint Now) {
  auto &Window = Windows_[Service];
  pruneBefore(Window.Requests_, Now - Settings_.Window_);
  pruneBefore(Window.Retries_, Now - Settings_.Window_);
  return Window;
}

void WindowedRetryBudget::countRequest(ServiceName const &Service,
                                       TimePoint Now) {
  prune(Service, Now).Requests_.push_back(Now);
}

bool WindowedRetryBudget::tryTake(ServiceName const &Service, TimePoint Now) {
  auto &Window = prune(Service, Now);
  auto const Allowed =
      UsedFraction *
      (Settings_.Ratio_ * static_cast<double>(Window.Requests_.size()) +
       Settings_.Slack_ * Share_);
  if (static_cast<double>(Window.Retries_.size() + 1) > Allowed)
    return false;
  Window.Retries_.push_back(Now);
  return true;
}

} // namespace laburnum
