#include <LibBackend/ServerSentEvents.h>

namespace laburnum {

static constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

Result<std::vector<std::string>>
ServerSentEvents::feed(std::string_view Bytes) {
  std::vector<std::string> Events;
  for (char const Byte : Bytes) {
    takeByte(Byte, Events);
    if (Line_.size() + Data_.size() > MaxEventBytes_)
      return Error{ErrorKind::ResourceExhausted,
                   "an event of the stream is longer than " +
                       std::to_string(MaxEventBytes_) + " bytes",
                   "close the stream"};
  }
  return Events;
}

/// A line ends with CR LF, LF or CR. The line is taken at the CR; an LF
/// directly after it is skipped.
void ServerSentEvents::takeByte(char Byte, std::vector<std::string> &Events) {
  bool const EndsPair = LastWasReturn_ && Byte == '\n';
  LastWasReturn_ = Byte == '\r';
  if (EndsPair)
    return;
  if (Byte == '\r' || Byte == '\n')
    takeLine(Events);
  else
    Line_.push_back(Byte);
}

void ServerSentEvents::takeLine(std::vector<std::string> &Events) {
  std::string_view Line = Line_;
  if (IsFirstLine_ && Line.starts_with(ByteOrderMark))
    Line.remove_prefix(ByteOrderMark.size());
  IsFirstLine_ = false;
  if (!Line.empty()) {
    takeField(Line);
  } else if (HasData_) {
    Events.push_back(std::move(Data_));
    Data_.clear();
    HasData_ = false;
  }
  Line_.clear();
}

void ServerSentEvents::takeField(std::string_view Line) {
  auto const Colon = Line.find(':');
  if (Line.substr(0, Colon) != "data")
    return;
  std::string_view Value;
  if (Colon != std::string_view::npos)
    Value = Line.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (HasData_)
    Data_.push_back('\n');
  Data_.append(Value);
  HasData_ = true;
}

} // namespace laburnum
