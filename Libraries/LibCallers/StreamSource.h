#pragma once

#include <LibServing/FailureAnswer.h>
#include <LibServing/TokenDigest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace laburnum {

/// One token of a stream to a caller.
struct StreamToken {
  std::uint32_t Offset_ = 0;
  std::string Text_;
  /// Digest of the stream up to this token.
  std::optional<TokenDigest> Digest_ = std::nullopt;

  auto operator<=>(StreamToken const &) const = default;
};

/// The stream is complete.
struct StreamComplete {
  auto operator<=>(StreamComplete const &) const = default;
};

/// The stream continues elsewhere; the caller can resume it by its key.
struct StreamMoved {
  auto operator<=>(StreamMoved const &) const = default;
};

using StreamItem =
    std::variant<StreamToken, StreamComplete, StreamMoved, FailureAnswer>;

/// The result of writing a stream to its caller.
enum class Delivery {
  Written, ///< All items were written to the connection.
  Broken,  ///< The connection broke before that.
};

/// The source from which the thread that writes to a caller reads a stream.
class StreamSource {
public:
  virtual ~StreamSource() = default;

  /// Waits for the next item. Must not be called after the last one.
  virtual StreamItem pop() = 0;
  /// Ends the reading; pop() is not called again.
  virtual void release(Delivery Outcome) = 0;
};

} // namespace laburnum
