#pragma once

#include <LibCore/Hash.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// A digest of a completion's first tokens. Two completions of one prompt have
/// the same only if those tokens are the same.
using TokenDigest = std::uint64_t;

constexpr TokenDigest EmptyTokenDigest = 0;

/// The digest of the tokens behind Before and then this one.
inline TokenDigest extendDigest(TokenDigest Before, std::string const &Token) {
  return stableHash(Token, Before);
}

/// The digest of the first Count tokens; there are at least so many.
inline TokenDigest digestOf(std::vector<std::string> const &Tokens,
                            std::size_t Count) {
  auto Digest = EmptyTokenDigest;
  for (std::size_t Offset = 0; Offset < Count; ++Offset)
    Digest = extendDigest(Digest, Tokens[Offset]);
  return Digest;
}

} // namespace laburnum
