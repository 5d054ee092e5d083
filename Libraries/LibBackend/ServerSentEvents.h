#pragma once

#include <LibCore/Result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// Reads an event stream as the WHATWG HTML standard defines it in section
/// 9.2, fed with bytes as they come. Only the data of events is kept; names,
/// identifiers and reconnection times are ignored.
class ServerSentEvents {
public:
  static constexpr std::size_t DefaultMaxEventBytes = std::size_t{1} << 20;

  explicit ServerSentEvents(std::size_t MaxEventBytes = DefaultMaxEventBytes)
      : MaxEventBytes_(MaxEventBytes) {}

  /// The data of each event that Bytes completes. ResourceExhausted when one
  /// event is longer than the bound; the reader is not to be fed after that.
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
