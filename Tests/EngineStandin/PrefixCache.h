#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum {

/// Tokens of one block of the prefix cache.
inline constexpr std::size_t BlockTokens = 16;

/// A token of a prompt is a word between blanks.
std::vector<std::string> tokensOf(std::string const &Prompt);

/// The hash of each full block: stableHash of its tokens, each followed by a
/// line end, seeded with the hash of the block before (0 for the first).
std::vector<std::uint64_t> blockHashes(std::vector<std::string> const &Tokens);

enum class CacheEventKind { Stored, Evicted };

struct CacheEvent {
  std::uint64_t Sequence_ = 0;
  CacheEventKind Kind_ = CacheEventKind::Stored;
  std::uint64_t PrefixHash_ = 0;

  auto operator<=>(CacheEvent const &) const = default;
};

struct CacheEvents {
  std::uint64_t Next_ = 0;
  bool HasGap_ = false; ///< Some events from the asked number on are lost.
  std::vector<CacheEvent> Events_;

  auto operator<=>(CacheEvents const &) const = default;
};

/// Holds the hashes of cached blocks and drops the least recently used.
class PrefixCache {
public:
  PrefixCache(std::size_t MaxTokens, std::size_t KeptEvents,
              std::uint64_t LoseEachEvent);

  /// Tokens of the longest run of leading blocks that are cached; these count
  /// as used now.
  std::size_t match(std::vector<std::uint64_t> const &Blocks);

  void store(std::vector<std::uint64_t> const &Blocks);

  CacheEvents eventsFrom(std::uint64_t Sequence) const;

private:
  using Order = std::list<std::uint64_t>;

  void note(CacheEventKind Kind, std::uint64_t Block);

  std::size_t const MaxBlocks_;
  std::size_t const KeptEvents_;
  std::uint64_t const LoseEachEvent_;
  Order Order_; ///< The most recently used first.
  std::unordered_map<std::uint64_t, Order::iterator> Blocks_;
  std::uint64_t NextSequence_ = 1;
  std::deque<CacheEvent> Events_;
};

} // namespace laburnum
