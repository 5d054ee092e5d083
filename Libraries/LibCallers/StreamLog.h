#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCallers/StreamSource.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Numbers the readers of a stream; only the latest one is served.
using ReaderNumber = std::uint64_t;

/// The log of all tokens of one stream, at the instance that owns the stream.
/// The thread that runs the request appends to it; the threads of callers read
/// it, each from its own offset, so that a caller that reconnects can resume.
/// Its size is bounded by the number of tokens requested.
class StreamLog {
public:
  explicit StreamLog(std::vector<std::string> const &Produced);

  /// Appends the token with this offset. Returns No if the log is closed or the
  /// token is not the next one.
  Continue push(std::uint32_t Offset, std::string const &Text);
  /// Ends the stream as complete; has no effect if the log is closed.
  void finish();
  void fail(FailureAnswer Failure);

  /// Accepts no more tokens. Readers wait until markMoved().
  void close();
  /// After the tokens, readers get StreamMoved: the stream continues elsewhere.
  void markMoved();
  /// Accepts no more tokens; readers get the failure after the tokens so far.
  void supersede(FailureAnswer Failure);

  /// Adds a reader that starts at Offset, with a number higher than any before;
  /// the previous reader gets StreamMoved. Returns false and does nothing if
  /// Offset is beyond the end of the log or the tokens before it have another
  /// digest.
  bool attach(ReaderNumber Reader, std::uint32_t Offset,
              std::optional<TokenDigest> const &Digest);
  /// Waits for the item at Offset.
  StreamItem read(ReaderNumber Reader, std::uint32_t Offset);

  std::vector<std::string> tokensFrom(std::uint32_t Offset) const;

private:
  void append(std::string const &Text);
  bool matchesDigest(std::uint32_t Offset,
                     std::optional<TokenDigest> const &Digest) const;
  void end(StreamItem Item);
  bool isReady(ReaderNumber Reader, std::uint32_t Offset) const;

  mutable std::mutex Mutex_; ///< Guards all members below.
  std::condition_variable Changed_;
  std::vector<std::string> Tokens_;
  std::vector<TokenDigest> Digests_; ///< Of the stream up to each token.
  std::optional<StreamItem> End_;    ///< The item after the last token.
  bool IsClosed_ = false;
  ReaderNumber CurrentReader_ = 0;
};

} // namespace laburnum
