#pragma once

#include <LibServing/FailureAnswer.h>
#include <LibServing/TokenDigest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace laburnum {

/// One token on its way to the caller.
struct TokenOut {
  std::uint32_t Offset_ = 0;
  std::string Text_;
  /// Of the stream up to this token.
  std::optional<TokenDigest> Digest_ = std::nullopt;

  auto operator<=>(TokenOut const &) const = default;
};

/// The stream ended whole.
struct StreamWhole {
  auto operator<=>(StreamWhole const &) const = default;
};

/// The stream goes on elsewhere: the caller gets the rest by its key.
struct StreamMoved {
  auto operator<=>(StreamMoved const &) const = default;
};

using StreamItem =
    std::variant<TokenOut, StreamWhole, StreamMoved, FailureAnswer>;

/// How the writing of a stream to its caller ended.
enum class Delivery {
  Written, ///< All items up to the last were handed to the connection.
  Broken,  ///< The connection broke before.
};

/// What the thread that writes to a caller reads a stream from.
class StreamSource {
public:
  virtual ~StreamSource() = default;

  /// Waits for the next item. Not called behind the last one.
  virtual StreamItem pop() = 0;
  /// The reader will not read again.
  virtual void release(Delivery Outcome) = 0;
};

} // namespace laburnum
