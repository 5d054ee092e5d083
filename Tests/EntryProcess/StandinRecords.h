#pragma once

#include <LibModel/Endpoint.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace laburnum::entry_process {

/// Returns a configuration with the routes /read/ (idempotent), /order/
/// (non-idempotent) and, from version 2 on, /new/, all to the service "desk".
nlohmann::json configurationJson(std::uint64_t Version);
/// Returns the platform's record of a backend server.
nlohmann::json serverJson(Endpoint const &Address, std::string const &State,
                          std::int64_t Born, std::uint64_t Sequence,
                          std::string const &SoftwareVersion = "v1",
                          std::string const &Service = "desk");

} // namespace laburnum::entry_process
