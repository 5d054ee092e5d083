#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum {

/// Number of tokens in a block of the prefix cache.
inline constexpr std::size_t BlockTokens = 16;

/// Splits a prompt into tokens at whitespace.
std::vector<std::string> tokensOf(std::string const &Prompt);

/// The hash of each full block: stableHash of its tokens, each followed by a
/// line feed, seeded with the hash of the previous block (0 for the first).
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
  bool HasGap_ = false; ///< Events since the requested number were lost.
  std::vector<CacheEvent> Events_;

  auto operator<=>(CacheEvents const &) const = default;
};

/// An LRU cache of block hashes.
class PrefixCache {
public:
  PrefixCache(std::size_t MaxTokens, std::size_t RetainedEvents,
              std::uint64_t DroppedEventInterval);

  /// The number of tokens in the longest cached prefix of Blocks. Marks these
  /// blocks as recently used.
  std::size_t match(std::vector<std::uint64_t> const &Blocks);

  void store(std::vector<std::uint64_t> const &Blocks);

  CacheEvents eventsFrom(std::uint64_t Sequence) const;

private:
  using LruList = std::list<std::uint64_t>;

  void recordEvent(CacheEventKind Kind, std::uint64_t Block);

  std::size_t const MaxBlocks_;
  std::size_t const RetainedEvents_;
  std::uint64_t const DroppedEventInterval_;
  LruList LruList_; ///< The most recently used first.
  std::unordered_map<std::uint64_t, LruList::iterator> Blocks_;
  std::uint64_t NextSequence_ = 1;
  std::deque<CacheEvent> Events_;
};

} // namespace laburnum
