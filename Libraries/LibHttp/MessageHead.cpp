#include <LibHttp/MessageHead.h>

#include <array>
#include <charconv>

namespace laburnum {

namespace {

void appendFields(std::string &Into, HeaderFields const &Fields) {
  for (auto const &Field : Fields.all())
    Into.append(Field.Name_).append(": ").append(Field.Value_).append("\r\n");
}

std::string statusLine(AnswerHead const &Head, ConnectionReuse Reuse) {
  std::string Bytes = "HTTP/1.1 " + std::to_string(Head.Status_) + ' ';
  Bytes.append(reasonOf(Head.Status_)).append("\r\n");
  appendFields(Bytes, Head.Fields_);
  if (Reuse == ConnectionReuse::Close)
    Bytes.append("Connection: close\r\n");
  return Bytes;
}

} // namespace

std::string_view reasonOf(std::int32_t Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Other";
  }
}

std::string serialize(RequestHead const &Head, std::size_t BodyBytes) {
  std::string Bytes = Head.Method_ + ' ' + Head.Target_ + " HTTP/1.1\r\n";
  appendFields(Bytes, Head.Fields_);
  // Requests with these methods need no Content-Length if they have no body
  // (RFC 9110, section 8.6).
  if (BodyBytes > 0 || (Head.Method_ != "GET" && Head.Method_ != "HEAD" &&
                        Head.Method_ != "DELETE"))
    Bytes.append("Content-Length: ")
        .append(std::to_string(BodyBytes))
        .append("\r\n");
  return Bytes.append("\r\n");
}

std::string serialize(AnswerHead const &Head, std::size_t BodyBytes,
                      ConnectionReuse Reuse) {
  return statusLine(Head, Reuse)
      .append("Content-Length: ")
      .append(std::to_string(BodyBytes))
      .append("\r\n\r\n");
}

std::string serializeChunked(AnswerHead const &Head, ConnectionReuse Reuse) {
  return statusLine(Head, Reuse).append("Transfer-Encoding: chunked\r\n\r\n");
}

std::string serializeChunk(std::string_view Bytes) {
  std::array<char, 16> Length{};
  auto const Written = std::to_chars(
      Length.data(), Length.data() + Length.size(), Bytes.size(), 16);
  std::string Chunk(Length.data(), Written.ptr);
  return Chunk.append("\r\n").append(Bytes).append("\r\n");
}

} // namespace laburnum
