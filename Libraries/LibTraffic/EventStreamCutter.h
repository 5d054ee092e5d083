#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum {

/// One whole event of a stream, with the empty line that ends it.
struct StreamEvent {
  std::optional<std::uint64_t> Id_;
  std::string Bytes_;

  auto operator<=>(StreamEvent const &) const = default;
};

/// Cuts an event stream (WHATWG HTML, section 9.2) at the ends of its events
/// and leaves their bytes as they are, so that a server which breaks off inside
/// an event has passed nothing of it on.
class EventStreamCutter {
public:
  /// An event longer than this is no event of a backend server.
  static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;

  /// The events that Bytes completes.
  std::vector<StreamEvent> feed(std::string_view Bytes);
  /// Whether the stream stands inside an event.
  bool isInsideEvent() const { return !Event_.empty(); }
  bool isOverlong() const { return Event_.size() > MaxEventBytes; }

private:
  void endLine(std::vector<StreamEvent> &Events);

  std::string Event_;         ///< Of the event that is not whole yet.
  std::size_t LineStart_ = 0; ///< Of the last line, in Event_.
  std::optional<std::uint64_t> Id_;
};

} // namespace laburnum
