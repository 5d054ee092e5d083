#pragma once

#include <LibTraffic/RouteMoves.h>
#include <LibTraffic/StreamOrigins.h>

#include <compare>
#include <cstdint>
#include <set>
#include <vector>

namespace laburnum {

/// Whether all moves of routes that this instance does not know in particular
/// are known to the store, and none to the store alone.
enum class MoveRecord { Incomplete, Complete };

/// Where streams may begin: an instance that reads the store later learns there
/// that they may have begun there.
struct RecordedOrigins {
  /// Services with the software versions that the store holds.
  std::set<StreamOrigin> Versions_;
  /// Requests that were led to another service, which the store does not know.
  std::vector<RouteRegion> UnrecordedMoves_;
  MoveRecord OtherMoves_ = MoveRecord::Incomplete;

  auto operator<=>(RecordedOrigins const &) const = default;
};

} // namespace laburnum
