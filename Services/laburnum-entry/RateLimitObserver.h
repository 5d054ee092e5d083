#pragma once

#include "EntryMetrics.h"

#include <LibLog/EventLog.h>
#include <LibTraffic/ServerRateLimiter.h>
#include <LibTraffic/ServerRecord.h>
#include <LibTraffic/TrafficRequest.h>

#include <functional>
#include <set>
#include <string_view>
#include <utility>

namespace laburnum {

/// Passes the rate limits that servers and peers state to the limiter, and logs
/// the changes. Runs on the traffic thread.
class RateLimitObserver {
public:
  /// All arguments have to outlive the observer.
  RateLimitObserver(ServerRateLimiter &Limiter, EventLog &Log,
                    EntryMetrics &Metrics)
      : Limiter_(Limiter), Log_(Log), Metrics_(Metrics) {}

  /// Called with the changes that peers have to be notified of.
  using Listener = std::function<void(ServerRateLimits const &)>;
  void setListener(Listener Listener) { Listener_ = std::move(Listener); }

  /// Takes in an answer to a request that was sent at SentAt.
  void onAnswer(ServerRecord const &Server, ServerAnswer const &Answer,
                TimePoint SentAt, TimePoint Now);
  void onPeer(ServerRateLimits const &Received, TimePoint Now);

private:
  void onUnreadable(ServerId const &Incarnation, std::string_view Text);
  void log(ServerId const &Incarnation, std::string_view Source,
           TimePoint Now) const;

  ServerRateLimiter &Limiter_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
  Listener Listener_;
  /// Incarnations whose unreadable limit has been logged.
  std::set<ServerId> Unreadable_;
};

} // namespace laburnum
