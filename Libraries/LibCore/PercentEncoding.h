#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnum {

/// Encodes all bytes but the unreserved characters (RFC 3986, section 2.1), so
/// that the text can be a segment of a path, a value in a query or a header
/// field.
std::string percentEncode(std::string_view Text);

/// Returns nothing for text that percentEncode() does not return.
std::optional<std::string> percentDecode(std::string_view Text);

} // namespace laburnum
