#include <LibTraffic/LinkMonitor.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Servers that have to fail without a contact between; one may have crashed.
constexpr std::size_t SuspiciousFailures = 2;

} // namespace

void LinkMonitor::onSent(ServerId const &Server, TimePoint Now) {
  auto &Wait = WaitingSince_[Server];
  if (Wait.Attempts_++ == 0)
    Wait.Since_ = Now;
}

void LinkMonitor::onWaitEnded(ServerId const &Server) {
  auto const Found = WaitingSince_.find(Server);
  if (Found != WaitingSince_.end() && --Found->second.Attempts_ == 0)
    WaitingSince_.erase(Found);
}

void LinkMonitor::onContact(TimePoint Now) {
  State_ = LinkState::Up;
  LastContactAt_ = Now;
  Failed_.clear();
  HasReached_ = true;
}

void LinkMonitor::onFailure(ServerId const &Server) { Failed_.insert(Server); }

bool LinkMonitor::isProbeDue(std::size_t Known, TimePoint Now) const {
  if (OpenProbes_ > 0 || Known == 0)
    return false;
  if (State_ == LinkState::Cut)
    return true;
  if (Failed_.size() >= std::min(SuspiciousFailures, Known))
    return true;
  return std::any_of(
      WaitingSince_.begin(), WaitingSince_.end(), [&](auto const &Waiting) {
        return Now - std::max(Waiting.second.Since_, LastContactAt_) >=
               SuspiciousSilence;
      });
}

void LinkMonitor::onProbeStarted(std::size_t Servers) {
  OpenProbes_ = Servers;
  HasReached_ = false;
}

void LinkMonitor::onProbed(bool IsReachable, TimePoint Now) {
  if (IsReachable)
    onContact(Now);
  if (OpenProbes_ > 0 && --OpenProbes_ == 0 && !HasReached_)
    State_ = LinkState::Cut;
}

} // namespace laburnum
