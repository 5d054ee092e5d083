#pragma once

#include "TrafficPlane.h"

#include <LibControl/PeerNetwork.h>
#include <LibControl/RateLimitDissemination.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive RateLimitTasks.
struct RateLimitDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  TrafficPlane &Traffic_;
};

/// Tells the traffic thread which instances share the servers' rate limits, and
/// exchanges the limits with the peers. Runs on the control thread.
class RateLimitTasks {
public:
  RateLimitTasks(RateLimitDependencies Dependencies, EntryInstance const &Self,
                 std::uint64_t Seed);

  /// Starts sending limits to the peers and the periodic timer.
  void start(std::shared_ptr<PeerNetwork> Peers);
  void setFleet(FleetView const &View, Liveness Self);
  void onPeer(ServerRateLimits const &Received);

private:
  void send(std::vector<Endpoint> const &To, ServerRateLimits const &Limits);
  /// Sends all limits that this instance knows.
  void sendAll(std::vector<Endpoint> const &To);
  void tick();

  RateLimitDependencies Dependencies_;
  RateLimitDissemination Dissemination_;
  std::shared_ptr<PeerNetwork> Peers_;
  asio::steady_timer Timer_;
};

} // namespace laburnum
