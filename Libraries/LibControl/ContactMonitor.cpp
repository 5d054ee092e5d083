#include <LibControl/ContactMonitor.h>

namespace laburnum {

void ContactMonitor::onTime(TimePoint Now) {
  if (LastTime_ && Now - *LastTime_ >= MaxPause)
    TrustedFrom_ = Now + BacklogTime;
  LastTime_ = Now;
}

void ContactMonitor::onPeerMessage(TimePoint Now) {
  onTime(Now);
  PeerMessageAt_ = Now;
}

void ContactMonitor::onListConfirmed(TimePoint Now) {
  onTime(Now);
  ListConfirmedAt_ = Now;
}

bool ContactMonitor::isRecent(std::optional<TimePoint> const &At,
                              TimePoint Now) {
  onTime(Now);
  return At && *At >= TrustedFrom_ && Now - *At <= MaxSilence;
}

bool ContactMonitor::hearsPeers(TimePoint Now) {
  return isRecent(PeerMessageAt_, Now);
}

bool ContactMonitor::isListCurrent(TimePoint Now) {
  return isRecent(ListConfirmedAt_, Now);
}

} // namespace laburnum
