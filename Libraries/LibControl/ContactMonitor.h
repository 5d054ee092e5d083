#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace laburnum {

/// Decides whether what this instance knows of the fleet may be outdated,
/// because it was cut off or its process stood still.
class ContactMonitor {
public:
  /// Others send several messages in this time.
  static constexpr std::chrono::milliseconds MaxSilence{1500};
  /// The process has stood still if it noticed nothing for this long.
  static constexpr std::chrono::milliseconds MaxPause{1000};
  /// What arrives in this time after a pause may have been sent before it.
  static constexpr std::chrono::milliseconds BacklogTime{500};

  /// To be called at least four times a second.
  void onTime(TimePoint Now);
  void onPeerMessage(TimePoint Now);
  /// The server list was confirmed to be the store's latest state.
  void onListConfirmed(TimePoint Now);

  bool hearsPeers(TimePoint Now);
  bool isListCurrent(TimePoint Now);
  std::optional<TimePoint> const &peerMessageAt() const {
    return PeerMessageAt_;
  }
  std::optional<TimePoint> const &listConfirmedAt() const {
    return ListConfirmedAt_;
  }

private:
  bool isRecent(std::optional<TimePoint> const &At, TimePoint Now);

  std::optional<TimePoint> LastTime_;
  TimePoint TrustedFrom_ = TimePoint::min();
  std::optional<TimePoint> PeerMessageAt_;
  std::optional<TimePoint> ListConfirmedAt_;
};

} // namespace laburnum
