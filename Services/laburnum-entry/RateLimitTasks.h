#pragma once

#include "TrafficPlane.h"

#include <LibControl/PeerNetwork.h>
#include <LibControl/RateLimitDissemination.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive RateLimitTasks.
struct RateLimitDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  TrafficPlane &Traffic_;
  /// Returns the requests a second that reach an instance; 0 if unknown.
  std::function<double(InstanceId const &, TimePoint)> DemandAt_;
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
  void updateFleet();
  void tick();

  RateLimitDependencies Dependencies_;
  RateLimitDissemination Dissemination_;
  EntryInstance const Self_;
  Liveness Liveness_ = Liveness::Live;
  std::size_t Registered_ = 0;
  std::shared_ptr<PeerNetwork> Peers_;
  asio::steady_timer Timer_;
};

} // namespace laburnum
