#include <LibTraffic/EventStreamSplitter.h>

#include <charconv>
#include <utility>

namespace laburnum {

namespace {

std::optional<std::uint64_t> idOf(std::string_view Line) {
  constexpr std::string_view Name = "id:";
  if (!Line.starts_with(Name))
    return std::nullopt;
  Line.remove_prefix(Name.size());
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  std::uint64_t Id = 0;
  auto const *const End = Line.data() + Line.size();
  auto const Parsed = std::from_chars(Line.data(), End, Id);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Id;
}

} // namespace

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view Bytes) {
  std::vector<StreamEvent> Events;
  while (!Bytes.empty()) {
    auto const Newline = Bytes.find('\n');
    if (Newline == std::string_view::npos) {
      Event_.append(Bytes);
      break;
    }
    Event_.append(Bytes.substr(0, Newline + 1));
    Bytes.remove_prefix(Newline + 1);
    endLine(Events);
  }
  return Events;
}

void EventStreamSplitter::endLine(std::vector<StreamEvent> &Events) {
  auto Line = std::string_view(Event_).substr(LineStart_);
  Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty()) {
    Events.push_back({std::exchange(Id_, std::nullopt),
                      std::exchange(Event_, std::string())});
    LineStart_ = 0;
    return;
  }
  if (auto const Id = idOf(Line))
    Id_ = Id;
  LineStart_ = Event_.size();
}

} // namespace laburnum
