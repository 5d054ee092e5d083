#pragma once

#include <LibCore/Time.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// A structured log line: an event and its fields as name=value, in the order
/// in which they were added. Values are quoted unless all characters are plain.
class LogLine {
public:
  explicit LogLine(std::string_view Event);

  LogLine &add(std::string_view Name, std::string_view Value);
  LogLine &add(std::string_view Name, std::integral auto Value) {
    return add(Name, std::string_view(std::to_string(Value)));
  }
  /// Adds a duration in milliseconds. The name should end in _ms.
  LogLine &add(std::string_view Name, double Value);
  LogLine &add(std::string_view Name, Duration Value);
  /// Adds the value as 16 hexadecimal digits.
  LogLine &addHash(std::string_view Name, std::uint64_t Value);
  /// Adds the values as hexadecimal digits, separated by commas; nothing if
  /// there are none.
  LogLine &addHashes(std::string_view Name,
                     std::vector<std::uint64_t> const &Values);

  std::string const &text() const { return Text_; }

private:
  std::string Text_;
};

} // namespace laburnum
