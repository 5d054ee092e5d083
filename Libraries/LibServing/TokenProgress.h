#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// What a piece is to the completion as produced so far.
enum class PieceFit {
  Next,  ///< The token that was expected; it was appended.
  Known, ///< An offset that was produced before; nothing changed.
  Hole,  ///< Tokens before it are missing; nothing changed.
};

/// The tokens of a completion over all its attempts, and the pace of the
/// present attempt.
class TokenProgress {
public:
  TokenProgress() = default;
  /// Goes on behind tokens that were produced before.
  explicit TokenProgress(std::vector<std::string> Produced)
      : Tokens_(std::move(Produced)) {}

  /// An attempt begins that resumes after all tokens so far.
  void beginAttempt(TimePoint Now);
  PieceFit accept(TokenPiece const &Piece, TimePoint Now);

  std::vector<std::string> const &tokens() const { return Tokens_; }
  std::uint32_t count() const {
    return static_cast<std::uint32_t>(Tokens_.size());
  }

  /// How long the tokens up to MaxTokens still take at the mean pace of this
  /// attempt, counted from its start, so that the time to its first token makes
  /// the estimate longer and not shorter. Nothing before its first token.
  std::optional<Duration> expectedRemaining(std::uint32_t MaxTokens) const;

private:
  std::vector<std::string> Tokens_;
  std::size_t AttemptBegin_ = 0;
  TimePoint AttemptStarted_{};
  TimePoint LastToken_{};
};

} // namespace laburnum
