#include <LibTraffic/PeerRoutes.h>

#include <algorithm>

namespace laburnum {

namespace {

/// How long an instance is avoided that refused a request.
constexpr std::chrono::seconds AvoidanceTime{1};

ServerRecord inFormOfServer(PeerRoute const &Peer, ServiceName const &Service) {
  ServerRecord Server;
  Server.Id_ = ServerId(Peer.Id_.text());
  Server.Service_ = Service;
  Server.DataCentre_ = Peer.DataCentre_;
  Server.Endpoint_ = Peer.Endpoint_;
  return Server;
}

} // namespace

int PeerRoutes::distance(DataCentre const &Centre) const {
  if (Centre == Geography_.Local_)
    return 0;
  auto const Region = [&](DataCentre const &Of) {
    auto const Found = Geography_.Regions_.find(Of);
    return Found == Geography_.Regions_.end() ? std::string() : Found->second;
  };
  return Region(Centre) == Region(Geography_.Local_) ? 1 : 2;
}

std::optional<ServerRecord>
PeerRoutes::choose(ServiceName const &Service,
                   std::set<ServerId> const &Excluded, TimePoint Now) {
  std::erase_if(AvoidedUntil_,
                [&](auto const &Pair) { return Pair.second <= Now; });
  // Requests spread over all instances at the same distance.
  std::shuffle(Peers_.begin(), Peers_.end(), Generator_);
  PeerRoute const *Best = nullptr;
  for (auto const &Peer : Peers_) {
    auto const Server = inFormOfServer(Peer, Service);
    if (Excluded.contains(incarnationOf(Server)) ||
        AvoidedUntil_.contains({Service, Server.Id_}))
      continue;
    if (!Best || distance(Peer.DataCentre_) < distance(Best->DataCentre_))
      Best = &Peer;
  }
  return Best ? std::optional(inFormOfServer(*Best, Service)) : std::nullopt;
}

void PeerRoutes::onRefused(ServiceName const &Service, ServerId const &Peer,
                           TimePoint Now) {
  AvoidedUntil_[{Service, Peer}] = Now + AvoidanceTime;
}

} // namespace laburnum
