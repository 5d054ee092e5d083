#pragma once

#include <LibSettings/DaemonSettings.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// The least length of operators' keys and of the peers' secret.
inline constexpr std::size_t MinimumSecretCharacters = 16;

/// A whole number from Minimum to Maximum and nothing else.
std::optional<std::int64_t> parseInteger(std::string const &Text,
                                         std::int64_t Minimum,
                                         std::int64_t Maximum);

/// "host:port" with a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string const &Text);

/// Endpoints separated by commas; an empty text is an empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string const &Text);

/// "name:key" pairs separated by commas, at least one. Names and keys are
/// distinct, so that a key tells who its operator is.
std::optional<std::vector<OperatorKey>>
parseOperatorKeys(std::string const &Text);

/// "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(std::string const &Text);

} // namespace laburnum
