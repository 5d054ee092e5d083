#pragma once

#include <LibModel/ConfigurationObject.h>

#include <algorithm>
#include <cstdint>

namespace laburnum {

/// How often the store has been restored from an older copy: its history is
/// continuous only within an era.
using StoreEra = std::uint64_t;

/// A store that is restored gives out its revisions again. A Version is the
/// revision within an era, with the era above it, so that versions of later
/// eras are higher. Versions stay exact as floating-point numbers.
constexpr unsigned RevisionBits = 40;
constexpr std::uint64_t RevisionMask = (std::uint64_t{1} << RevisionBits) - 1;
/// The era is bounded, and not the revision, so that versions never go back
/// within an era.
constexpr StoreEra MaxStoreEra = (StoreEra{1} << 13U) - 1;

constexpr Version versionOf(StoreEra Era, std::uint64_t Revision) {
  return (std::min(Era, MaxStoreEra) << RevisionBits) + Revision;
}
constexpr StoreEra eraOf(Version Composed) { return Composed >> RevisionBits; }
constexpr std::uint64_t revisionOf(Version Composed) {
  return Composed & RevisionMask;
}

} // namespace laburnum
