#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// Incremental parser of an event stream (WHATWG HTML standard, section 9.2).
/// Returns only the data of events; names, identifiers and reconnection times
/// are ignored.
class ServerSentEvents {
public:
  static constexpr std::size_t DefaultMaxEventBytes = std::size_t{1} << 20;

  explicit ServerSentEvents(std::size_t MaxEventBytes = DefaultMaxEventBytes)
      : MaxEventBytes_(MaxEventBytes) {}

  /// Returns the data of each event that Bytes completes. ResourceExhausted
  /// when an event exceeds the bound; feed() must not be called after that.
  Result<std::vector<std::string>> feed(std::string_view Bytes);

private:
  void takeByte(char Byte, std::vector<std::string> &Events);
  void takeLine(std::vector<std::string> &Events);
  void takeField(std::string_view Line);

  std::size_t MaxEventBytes_;
  std::string Line_;
  std::string Data_;
  bool HasData_ = false;
  bool IsFirstLine_ = true;
  bool LastWasReturn_ = false;
};

} // namespace laburnum
