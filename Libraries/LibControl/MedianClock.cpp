#include <LibControl/MedianClock.h>

#include <algorithm>
#include <vector>

namespace laburnum {

namespace {

/// Time for which a reading counts. Monotonic clocks run evenly, so the offset
/// of an instance that was silent for a while is still usable.
constexpr std::chrono::seconds Validity{20};

} // namespace

void MedianClock::setLocal(Duration TimeOfDay, TimePoint Now) {
  LocalOffset_ = TimeOfDay - Now.time_since_epoch();
  update(Now);
}

void MedianClock::onPeer(InstanceId const &Peer, Duration TimeOfDay,
                         TimePoint Now) {
  Peers_[Peer] = {TimeOfDay - Now.time_since_epoch(), Now};
  update(Now);
}

void MedianClock::update(TimePoint Now) {
  std::erase_if(Peers_, [&](auto const &Entry) {
    return Entry.second.At_ + Validity < Now;
  });
  std::vector<Duration> Offsets = {LocalOffset_};
  for (auto const &[Peer, Reading] : Peers_)
    Offsets.push_back(Reading.Offset_);
  auto const Middle = Offsets.begin() + Offsets.size() / 2;
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  Offset_.store(Middle->count(), std::memory_order_relaxed);
}

} // namespace laburnum
