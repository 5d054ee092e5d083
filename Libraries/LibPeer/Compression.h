#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace laburnum {

/// Compresses text in the zlib format (RFC 1950). Returns nothing for lack of
/// memory.
std::string compress(std::string_view Text);

/// Returns what compress() was given; nothing if the data is damaged or would
/// become larger than MaxBytes.
std::optional<std::string> decompress(std::string_view Data,
                                      std::size_t MaxBytes);

} // namespace laburnum
