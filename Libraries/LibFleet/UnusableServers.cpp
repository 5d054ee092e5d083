#include <LibFleet/UnusableServers.h>

#include <algorithm>

namespace laburnum {

std::set<ServerId> unusableServers(servers::Departures const &Departures,
                                   Configuration const &InForce) {
  std::set<ServerId> Unusable;
  for (auto const &[Id, Departure] : Departures)
    Unusable.insert(Id);
  for (auto const &[Name, Service] : InForce.services()) {
    auto const &Servers = InForce.serversOf(Name);
    bool const HasOther = std::any_of(Servers.begin(), Servers.end(),
                                      [&](BackendServer const &Server) {
                                        return !Departures.contains(Server.Id_);
                                      });
    if (HasOther)
      continue;
    for (auto const &Server : Servers)
      if (Departures.at(Server.Id_).HoldUntil_)
        Unusable.erase(Server.Id_);
  }
  return Unusable;
}

} // namespace laburnum
