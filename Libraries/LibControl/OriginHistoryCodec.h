#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibTraffic/RouteMoves.h>
#include <LibTraffic/SoftwareVersions.h>

#include <string>

namespace laburnum::detail {

/// The collection of the history's objects.
inline constexpr char const *HistoryCollection = "entry-software-versions";

ObjectKey versionsKey();
ObjectKey movesKey();

std::string encode(VersionHistory const &History);
/// Returns nothing for an object that this system did not write.
VersionHistory decodeVersions(std::string const &Text);
std::string encode(MovedRoutes const &Moved);
/// Returns nothing for an object that this system did not write.
MovedRoutes decodeMoves(std::string const &Text);

} // namespace laburnum::detail
