#pragma once

#include <cstdint>

namespace laburnum {

/// How often the store has been restored from an older copy: its history is
/// continuous only within an era.
using StoreEra = std::uint64_t;

} // namespace laburnum
