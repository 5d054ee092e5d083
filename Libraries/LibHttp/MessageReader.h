#pragma once

#include <LibHttp/MessageHead.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// Why bytes are not a message that can be taken.
enum class MessageFault {
  None,
  Malformed,    ///< Not HTTP/1.1, or framed ambiguously.
  HeadTooLarge, ///< The head, a chunk's extensions or the trailers are.
  BodyTooLarge, ///< The body is over its bound.
  Truncated,    ///< The input ended inside the message.
};

/// Bounds on what one message may occupy, in bytes.
struct MessageBounds {
  std::uint32_t HeadBytes_ = 16384;
  std::uint64_t BodyBytes_ = std::uint64_t{4} << 20;

  auto operator<=>(MessageBounds const &) const = default;
};

namespace detail {
class RequestParser;
class AnswerParser;
} // namespace detail

/// Reads one request, fed with bytes as they come. A request is Malformed also
/// when its framing could be read in two ways: a length beside chunks, two
/// lengths, or any other transfer encoding (RFC 9112, section 6.3).
class RequestReader {
public:
  explicit RequestReader(MessageBounds Bounds);
  ~RequestReader();
  RequestReader(RequestReader &&) noexcept;
  RequestReader &operator=(RequestReader &&) noexcept;

  /// Takes bytes up to the end of the message; what follows stays in rest().
  void feed(std::string_view Bytes);

  bool isHeadDone() const;
  bool isDone() const;
  MessageFault fault() const;
  /// Whether the client wants the connection to stay open.
  bool keepsAlive() const;

  RequestHead const &head() const;
  RequestHead takeHead();
  std::string takeBody();
  /// Bytes received beyond the message.
  std::string takeRest();

private:
  std::unique_ptr<detail::RequestParser> Parser_;
};

/// How the end of an answer's body is told.
enum class AnswerFraming { Delimited, EndsWithConnection };

/// Reads one answer, fed with bytes as they come.
class AnswerReader {
public:
  /// Method is that of the request, as an answer to HEAD has no body.
  AnswerReader(MessageBounds Bounds, std::string_view Method);
  ~AnswerReader();
  AnswerReader(AnswerReader &&) noexcept;
  AnswerReader &operator=(AnswerReader &&) noexcept;

  void feed(std::string_view Bytes);
  /// The peer closed its side in an orderly way: ends an answer that has no
  /// length, and makes any other Truncated.
  void endOfInput();

  bool isHeadDone() const;
  bool isDone() const;
  MessageFault fault() const;
  bool keepsAlive() const;
  AnswerFraming framing() const;

  AnswerHead const &head() const;
  /// The part of the body that has come since the last call.
  std::string takeBody();
  std::string takeRest();

private:
  std::unique_ptr<detail::AnswerParser> Parser_;
  std::uint32_t Interim_ = 0; ///< Interim answers so far.
};

} // namespace laburnum
