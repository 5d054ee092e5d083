#pragma once

#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>

#include <set>

namespace laburnum {

/// The servers that get no new work: those that are leaving or gone. If no
/// other server of a service remains, its servers with an uncertain departure
/// (HoldUntil_ is set) stay usable: it is better to retry a server that was
/// only briefly full than to reject its callers, and a server that is really
/// leaving refuses again.
std::set<ServerId> unusableServers(servers::Departures const &Departures,
                                   Configuration const &InForce);

} // namespace laburnum
