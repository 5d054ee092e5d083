#pragma once

#include <LibTraffic/ServerRoster.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// Another entry instance, which takes requests for the servers that this one
/// does not reach.
struct PeerRoute {
  InstanceId Id_;
  DataCentre DataCentre_;
  Endpoint Endpoint_; ///< Where it takes requests from instances.

  auto operator<=>(PeerRoute const &) const = default;
};

/// Chooses the instance to which a request is passed on: the nearest, and not
/// one that has just refused the service's requests, which may be cut off too.
class PeerRoutes {
public:
  PeerRoutes(Geography Geography, std::uint64_t Seed)
      : Geography_(std::move(Geography)), Generator_(Seed) {}

  void setPeers(std::vector<PeerRoute> Peers) { Peers_ = std::move(Peers); }
  bool hasPeers() const { return !Peers_.empty(); }
  /// Returns the instance in the form of a server, or nothing. Excluded:
  /// incarnations of servers, instances in this form included.
  std::optional<ServerRecord> choose(ServiceName const &Service,
                                     std::set<ServerId> const &Excluded,
                                     TimePoint Now);
  void onRefused(ServiceName const &Service, ServerId const &Peer,
                 TimePoint Now);

private:
  int distance(DataCentre const &Centre) const;

  Geography Geography_;
  std::mt19937_64 Generator_;
  std::vector<PeerRoute> Peers_;
  std::map<std::pair<ServiceName, ServerId>, TimePoint> AvoidedUntil_;
};

} // namespace laburnum
