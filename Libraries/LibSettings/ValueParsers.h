#pragma once

#include <LibSettings/DaemonSettings.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Minimum length of operators' keys and of the peers' secret.
inline constexpr std::size_t MinimumSecretCharacters = 16;

/// Parses an integer from Minimum to Maximum. The whole text must match.
std::optional<std::int64_t> parseInteger(std::string const &Text,
                                         std::int64_t Minimum,
                                         std::int64_t Maximum);

/// Parses "host:port" with a port from 1 to 65535.
std::optional<Endpoint> parseEndpoint(std::string const &Text);

/// Parses endpoints separated by commas. An empty text is an empty list.
std::optional<std::vector<Endpoint>> parseEndpoints(std::string const &Text);

/// Parses one or more "name:key" pairs separated by commas. Names and keys must
/// be distinct, so that a key identifies its operator.
std::optional<std::vector<OperatorKey>>
parseOperatorKeys(std::string const &Text);

/// Parses "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(std::string const &Text);

} // namespace laburnum
