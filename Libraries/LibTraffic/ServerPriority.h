#pragma once

#include <LibCore/Time.h>
#include <LibTraffic/RouteTable.h>

#include <cstdint>

namespace laburnum {

/// In which order a server takes waiting requests: 0 is first, 9 last.
constexpr std::uint32_t MaxServerPriority = 9;

/// Returns the priority of a request at a server that several routes share. The
/// configured rank goes first. Of requests of equal rank those go first whose
/// first event is due sooner: a long prompt that has seconds left does not hold
/// up short ones.
std::uint32_t serverPriority(RouteTable const &Table, Route const &Route,
                             std::int32_t Rank);

} // namespace laburnum
