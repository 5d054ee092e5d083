#pragma once

#include <LibModel/Endpoint.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace laburnum::entry_process {

/// The routes /read/ (may be repeated) and /order/ (may not) and, from the
/// second version on, /new/, all to the service "desk".
nlohmann::json configurationOf(std::uint64_t Version);
/// A backend server of "desk" as the platform lists it.
nlohmann::json serverEntry(Endpoint const &Address, std::string const &State,
                           std::int64_t Born, std::uint64_t Sequence);

} // namespace laburnum::entry_process
