#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace laburnum {

/// Writes a value as JSON. Texts from peers, clients and servers may hold any
/// bytes: what is not UTF-8 is replaced (U+FFFD), where the library's own
/// default is to throw.
std::string dumpJson(nlohmann::json const &Value);

} // namespace laburnum
