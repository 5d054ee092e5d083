#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace laburnum {

/// What a request asks of a model engine, in tokens.
struct RequestWork {
  std::uint64_t PromptTokens_ = 0;
  /// Tokens of the prompt's parts that other requests share. A server that
  /// keeps them does not read them again.
  std::uint64_t SharedTokens_ = 0;
  std::uint64_t MaxOutputTokens_ = 0;

  /// Tokens that every server has to read.
  std::uint64_t unsharedTokens() const {
    return PromptTokens_ - std::min(SharedTokens_, PromptTokens_);
  }
  /// Tokens in the server's memory when the request ends.
  std::uint64_t memoryTokens() const {
    return PromptTokens_ + MaxOutputTokens_;
  }

  auto operator<=>(RequestWork const &) const = default;
};

} // namespace laburnum
