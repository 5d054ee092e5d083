#pragma once

#include <LibHttp/HeaderFields.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnum {

/// Whether the connection is kept open after the answer.
enum class ConnectionReuse { KeepOpen, Close };

/// The head of a request (RFC 9112, section 3).
struct RequestHead {
  std::string Method_;
  std::string Target_;
  HeaderFields Fields_;

  auto operator<=>(RequestHead const &) const = default;
};

/// The head of an answer (RFC 9112, section 4).
struct AnswerHead {
  std::int32_t Status_ = 0;
  HeaderFields Fields_;

  auto operator<=>(AnswerHead const &) const = default;
};

/// The standard reason phrase of a status code.
std::string_view reasonOf(std::int32_t Status);

/// Serializes the head with a Content-Length field. Fields_ must not contain
/// fields that frame the body.
std::string serialize(RequestHead const &Head, std::size_t BodyBytes);
/// Serializes the head of an answer whose complete body has this length.
std::string serialize(AnswerHead const &Head, std::size_t BodyBytes,
                      ConnectionReuse Reuse);
/// Serializes the head of an answer with a chunked body.
std::string serializeChunked(AnswerHead const &Head, ConnectionReuse Reuse);
/// Serializes one chunk. Bytes must not be empty, as an empty chunk ends the
/// body.
std::string serializeChunk(std::string_view Bytes);
/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace laburnum
