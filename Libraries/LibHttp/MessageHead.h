#pragma once

#include <LibHttp/HeaderFields.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnum {

/// What follows the answer on its connection.
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

/// The usual reason phrase of a status.
std::string_view reasonOf(std::int32_t Status);

/// The head as bytes, with the body's length. Fields_ holds no framing.
std::string serialize(RequestHead const &Head, std::size_t BodyBytes);
/// An answer whose whole body has this length.
std::string serialize(AnswerHead const &Head, std::size_t BodyBytes,
                      ConnectionReuse Reuse);
/// An answer whose body follows in chunks.
std::string serializeChunked(AnswerHead const &Head, ConnectionReuse Reuse);
/// One chunk; Bytes is not empty, as an empty chunk ends the body.
std::string serializeChunk(std::string_view Bytes);
/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace laburnum
