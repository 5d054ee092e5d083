#include <LibServing/TokenProgress.h>

namespace laburnum {

void TokenProgress::beginAttempt(TimePoint Now) {
  AttemptBegin_ = Tokens_.size();
  AttemptStarted_ = Now;
  LastToken_ = Now;
}

AppendResult TokenProgress::accept(TokenPiece const &Piece, TimePoint Now) {
  if (Piece.Offset_ < Tokens_.size())
    return AppendResult::Known;
  if (Piece.Offset_ > Tokens_.size())
    return AppendResult::Gap;
  Tokens_.push_back(Piece.Text_);
  LastToken_ = Now;
  return AppendResult::Next;
}

std::optional<Duration>
TokenProgress::expectedRemaining(std::uint32_t MaxTokens) const {
  auto const Produced = Tokens_.size() - AttemptBegin_;
  if (Produced == 0)
    return std::nullopt;
  if (Tokens_.size() >= MaxTokens)
    return Duration::zero();
  auto const Missing = MaxTokens - Tokens_.size();
  return (LastToken_ - AttemptStarted_) * static_cast<std::int64_t>(Missing) /
         static_cast<std::int64_t>(Produced);
}

} // namespace laburnum
