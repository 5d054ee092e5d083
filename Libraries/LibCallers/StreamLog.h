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

/// Numbers the readers of a stream; only the newest is served.
using ReaderNumber = std::uint64_t;

/// All tokens of one stream at its owner. The thread that runs the request
/// writes it; the callers' threads read it, each from its own offset, so that a
/// caller who comes back is given what it lacks. Its size is bounded by the
/// tokens asked for.
class StreamLog {
public:
  explicit StreamLog(std::vector<std::string> const &Produced);

  /// Appends the token with this offset. No: the log is closed, or the token is
  /// not the next one.
  Continue push(std::uint32_t Offset, std::string const &Text);
  /// The stream is whole; nothing when the log was closed before.
  void finish();
  void fail(FailureAnswer Failure);

  /// Takes no more tokens. Readers wait until markMoved().
  void close();
  /// Readers are told, behind the tokens, that the stream goes on elsewhere.
  void markMoved();
  /// Takes no more tokens, and readers are told of the failure behind those
  /// that are here.
  void supersede(FailureAnswer Failure);

  /// A new reader from Offset on, with a number higher than any before; the
  /// reader before it is told that the stream moved. False, and nothing done,
  /// when Offset lies behind the tokens so far or those before it have another
  /// digest.
  bool attach(ReaderNumber Reader, std::uint32_t Offset,
              std::optional<TokenDigest> const &Digest);
  /// Waits for the item at Offset.
  StreamItem read(ReaderNumber Reader, std::uint32_t Offset);

  std::vector<std::string> tokensFrom(std::uint32_t Offset) const;

private:
  void append(std::string const &Text);
  bool agrees(std::uint32_t Offset,
              std::optional<TokenDigest> const &Digest) const;
  void end(StreamItem Item);
  bool isServed(ReaderNumber Reader, std::uint32_t Offset) const;

  mutable std::mutex Mutex_; ///< Guards all below.
  std::condition_variable Changed_;
  std::vector<std::string> Tokens_;
  std::vector<TokenDigest> Digests_; ///< Of the stream up to each token.
  std::optional<StreamItem> End_;    ///< What readers get behind the tokens.
  bool IsClosed_ = false;
  ReaderNumber Newest_ = 0;
};

} // namespace laburnum
