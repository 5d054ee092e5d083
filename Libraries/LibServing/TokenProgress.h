#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Result of appending a token piece to a completion.
enum class AppendResult {
  Next,  ///< The piece was the next token and was appended.
  Known, ///< The offset was produced before; nothing changed.
  Gap,   ///< Tokens before the piece are missing; nothing changed.
};

/// The tokens of a completion over all its attempts, and the rate of the
/// current attempt.
class TokenProgress {
public:
  TokenProgress() = default;
  /// Continues after tokens that were produced before.
  explicit TokenProgress(std::vector<std::string> Produced)
      : Tokens_(std::move(Produced)) {}

  /// Begins an attempt that resumes after the tokens so far.
  void beginAttempt(TimePoint Now);
  AppendResult accept(TokenPiece const &Piece, TimePoint Now);

  std::vector<std::string> const &tokens() const { return Tokens_; }
  std::uint32_t count() const {
    return static_cast<std::uint32_t>(Tokens_.size());
  }

  /// Estimates how long the remaining tokens up to MaxTokens take at the mean
  /// rate of this attempt. The rate is measured from the attempt's start, so
  /// that the time to its first token lengthens the estimate. Returns nothing
  /// before the first token.
  std::optional<Duration> expectedRemaining(std::uint32_t MaxTokens) const;

private:
  std::vector<std::string> Tokens_;
  std::size_t AttemptBegin_ = 0;
  TimePoint AttemptStarted_{};
  TimePoint LastToken_{};
};

} // namespace laburnum
