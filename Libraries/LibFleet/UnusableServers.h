#pragma once

#include <LibFleet/ServerDirectory.h>
#include <LibModel/Configuration.h>

#include <set>

namespace laburnum {

/// The servers that get no new work: those that are leaving or gone. Servers
/// against which nothing but their own refusals speaks are left out where no
/// server of their service would remain: one that was merely full for a moment
/// is better asked again than its callers turned away, and one that does leave
/// refuses again.
std::set<ServerId> unusableServers(servers::Departures const &Departures,
                                   Configuration const &InForce);

} // namespace laburnum
