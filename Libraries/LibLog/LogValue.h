#pragma once

#include <string>
#include <string_view>

namespace laburnum {

/// Returns the value as it stands in a log line: quoted unless all characters
/// are plain. Control characters become spaces, so that no value begins a line.
std::string logValue(std::string_view Value);

} // namespace laburnum
