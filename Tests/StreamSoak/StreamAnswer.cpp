#include "StreamAnswer.h"

#include <cstdlib>

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

} // namespace

StreamAnswer decodeAnswer(std::string const &Received) {
  constexpr std::size_t StatusOffset = sizeof("HTTP/1.1 ") - 1;
  constexpr int Success = 200;
  StreamAnswer Answer;
  auto const HeadEnd = Received.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return Answer;
  Answer.Status_ = std::atoi(Received.c_str() + StatusOffset);
  if (Answer.Status_ != Success)
    return Answer;
  auto const [Bytes, IsComplete] = decodeChunks(Received, HeadEnd + 4);
  Answer.IsComplete_ = IsComplete;
  std::size_t At = 0;
  for (auto End = Bytes.find("\n\n"); End != std::string::npos;
       End = Bytes.find("\n\n", At)) {
    auto const Event = Bytes.substr(At, End - At);
    auto const Id = Event.find("id: ");
    auto const Data = Event.find("data: ");
    if (Id != std::string::npos && Data != std::string::npos)
      Answer.Events_.push_back(
          {std::strtoull(Event.c_str() + Id + 4, nullptr, 10),
           Event.substr(Data + 6)});
    At = End + 2;
  }
  return Answer;
}

} // namespace laburnum::stream_soak
