#pragma once

#include <LibHttp/MessageHead.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// Why a message was rejected.
enum class MessageFault {
  None,
  Malformed,    ///< Not HTTP/1.1, or framed ambiguously.
  HeadTooLarge, ///< Head, chunk extensions or trailers exceed HeadBytes_.
  BodyTooLarge, ///< The body exceeds BodyBytes_.
  Truncated,    ///< The input ended inside the message.
};

/// Size limits of one message, in bytes.
struct MessageBounds {
  std::uint32_t HeadBytes_ = 16384;
  std::uint64_t BodyBytes_ = std::uint64_t{4} << 20;

  auto operator<=>(MessageBounds const &) const = default;
};

namespace detail {
class RequestParser;
class AnswerParser;
} // namespace detail

/// Incremental parser of one request. A request with ambiguous framing is
/// Malformed: Content-Length together with Transfer-Encoding, more than one
/// Content-Length, or a transfer encoding other than chunked (RFC 9112, section
/// 6.3). This prevents request smuggling.
class RequestReader {
public:
  explicit RequestReader(MessageBounds Bounds);
  ~RequestReader();
  RequestReader(RequestReader &&) noexcept;
  RequestReader &operator=(RequestReader &&) noexcept;

  /// Consumes bytes up to the end of the message; takeRest() returns the bytes
  /// behind it.
  void feed(std::string_view Bytes);

  bool isHeadDone() const;
  bool isDone() const;
  MessageFault fault() const;
  /// Whether the client wants the connection to stay open.
  bool keepsAlive() const;

  /// Bytes of memory that the message takes so far, about.
  std::size_t heldBytes() const;
  RequestHead const &head() const;
  RequestHead takeHead();
  std::string takeBody();
  /// Bytes received beyond the message.
  std::string takeRest();

private:
  std::unique_ptr<detail::RequestParser> Parser_;
};

/// How the end of an answer's body is marked: by its length or last chunk, or
/// by the end of the connection.
enum class AnswerFraming { Delimited, EndsWithConnection };

/// Incremental parser of one answer.
class AnswerReader {
public:
  /// Method is the request's method, as an answer to HEAD has no body.
  AnswerReader(MessageBounds Bounds, std::string_view Method);
  ~AnswerReader();
  AnswerReader(AnswerReader &&) noexcept;
  AnswerReader &operator=(AnswerReader &&) noexcept;

  void feed(std::string_view Bytes);
  /// The peer closed its side gracefully. This completes an answer without a
  /// length; any other unfinished answer becomes Truncated.
  void endOfInput();

  bool isHeadDone() const;
  bool isDone() const;
  MessageFault fault() const;
  bool keepsAlive() const;
  AnswerFraming framing() const;

  AnswerHead const &head() const;
  /// The part of the body received since the last call.
  std::string takeBody();
  std::string takeRest();

private:
  std::unique_ptr<detail::AnswerParser> Parser_;
  std::uint32_t Interim_ = 0; ///< Number of interim (1xx) answers so far.
};

} // namespace laburnum
