#include "StreamAnswer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace laburnum::stream_soak {

namespace {

/// Returns the bytes of all chunks so far, and whether the last one was there.
std::pair<std::string, bool> decodeChunks(std::string const &Received,
                                          std::size_t At) {
  constexpr int Hexadecimal = 16;
  std::string Bytes;
  while (true) {
    auto const LineEnd = Received.find("\r\n", At);
    if (LineEnd == std::string::npos)
      return {Bytes, false};
    auto const Size =
        std::strtoull(Received.c_str() + At, nullptr, Hexadecimal);
    if (Size == 0)
      return {Bytes, Received.find("\r\n\r\n", LineEnd) != std::string::npos};
    Bytes += Received.substr(LineEnd + 2, Size);
    At = LineEnd + 2 + Size + 2;
    if (At > Received.size())
      return {Bytes, false};
  }
}

std::optional<std::uint64_t> numberAt(std::string const &Text,
                                      std::size_t Begin) {
  auto const End = std::min(Text.find('\n', Begin), Text.size());
  std::uint64_t Number = 0;
  auto const [Rest, Failure] =
      std::from_chars(Text.data() + Begin, Text.data() + End, Number);
  if (Failure != std::errc() || Rest != Text.data() + End)
    return std::nullopt;
  return Number;
}

StreamAnswer answerOf(std::string const &Received,
                      std::pair<std::string, bool> const &Body) {
  constexpr std::size_t StatusOffset = sizeof("HTTP/1.1 ") - 1;
  constexpr int Success = 200;
  StreamAnswer Answer;
  Answer.Status_ = std::atoi(Received.c_str() + StatusOffset);
  if (Answer.Status_ != Success)
    return Answer;
  auto const &[Bytes, IsComplete] = Body;
  Answer.IsComplete_ = IsComplete;
  std::size_t At = 0;
  for (auto End = Bytes.find("\n\n"); End != std::string::npos;
       End = Bytes.find("\n\n", At)) {
    auto const Event = Bytes.substr(At, End - At);
    auto const Id = Event.find("id: ");
    auto const Data = Event.find("data: ");
    if (Id != std::string::npos && Data != std::string::npos)
      if (auto const Number = numberAt(Event, Id + 4))
        Answer.Events_.push_back({*Number, Event.substr(Data + 6)});
    At = End + 2;
  }
  return Answer;
}

} // namespace

std::pair<std::string, bool> decodeBody(std::string const &Received,
                                        bool IsClosed) {
  auto const HeadEnd = Received.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return {};
  auto Head = Received.substr(0, HeadEnd);
  std::transform(
      Head.begin(), Head.end(), Head.begin(),
      [](unsigned char Each) { return static_cast<char>(std::tolower(Each)); });
  if (Head.find("\r\ntransfer-encoding: chunked") != std::string::npos)
    return decodeChunks(Received, HeadEnd + 4);
  std::string const Label = "\r\ncontent-length: ";
  auto const At = Head.find(Label);
  if (At == std::string::npos)
    return {Received.substr(HeadEnd + 4), IsClosed};
  auto const Length =
      std::strtoull(Head.c_str() + At + Label.size(), nullptr, 10);
  auto Body = Received.substr(HeadEnd + 4, Length);
  bool const IsWhole = Body.size() == Length;
  return {std::move(Body), IsWhole};
}

StreamAnswer decodeAnswer(std::string const &Received) {
  auto const HeadEnd = Received.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return {};
  return answerOf(Received, decodeChunks(Received, HeadEnd + 4));
}

StreamAnswer decodeFramedAnswer(std::string const &Received, bool IsClosed) {
  if (Received.find("\r\n\r\n") == std::string::npos)
    return {};
  return answerOf(Received, decodeBody(Received, IsClosed));
}

} // namespace laburnum::stream_soak
