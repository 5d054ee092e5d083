#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// One complete event of a stream, including its terminating empty line.
struct StreamEvent {
  std::optional<std::uint64_t> Id_;
  std::string Bytes_;

  auto operator<=>(StreamEvent const &) const = default;
};

/// Splits an event stream (WHATWG HTML, section 9.2) into complete events and
/// leaves their bytes unchanged. Nothing of an incomplete event is forwarded
/// when a server disconnects.
class EventStreamSplitter {
public:
  /// Longer events are treated as malformed.
  static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;

  /// Appends Bytes and returns the events that they complete.
  std::vector<StreamEvent> feed(std::string_view Bytes);
  /// Returns whether an incomplete event is buffered.
  bool isInsideEvent() const { return !Event_.empty(); }
  std::size_t bufferedBytes() const { return Event_.size(); }
  bool isOverlong() const { return Event_.size() > MaxEventBytes; }

private:
  void endLine(std::vector<StreamEvent> &Events);

  std::string Event_;         ///< Bytes of the incomplete event.
  std::size_t LineStart_ = 0; ///< Offset of the last line in Event_.
  std::optional<std::uint64_t> Id_;
};

} // namespace laburnum
