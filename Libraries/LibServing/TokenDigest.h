#pragma once

#include <LibCore/Hash.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// A digest of a completion's first tokens. Two completions of a prompt have
/// equal digests only if these tokens are equal.
using TokenDigest = std::uint64_t;

constexpr TokenDigest EmptyTokenDigest = 0;

/// Returns the digest of the tokens of Before followed by Token.
inline TokenDigest extendDigest(TokenDigest Before, std::string const &Token) {
  return stableHash(Token, Before);
}

/// Returns the digest of the first Count tokens. Count must not exceed the
/// number of tokens.
inline TokenDigest digestOf(std::vector<std::string> const &Tokens,
                            std::size_t Count) {
  auto Digest = EmptyTokenDigest;
  for (std::size_t Offset = 0; Offset < Count; ++Offset)
    Digest = extendDigest(Digest, Tokens[Offset]);
  return Digest;
}

} // namespace laburnum
