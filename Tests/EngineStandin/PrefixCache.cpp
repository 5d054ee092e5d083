#include <EngineStandin/PrefixCache.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <sstream>

namespace laburnum {

std::vector<std::string> tokensOf(std::string const &Prompt) {
  std::istringstream Words(Prompt);
  std::vector<std::string> Tokens;
  for (std::string Word; Words >> Word;)
    Tokens.push_back(Word);
  return Tokens;
}

std::vector<std::uint64_t> blockHashes(std::vector<std::string> const &Tokens) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Previous = 0;
  std::string Block;
  for (std::size_t Index = 0; Index < Tokens.size(); ++Index) {
    Block += Tokens[Index] + '\n';
    if ((Index + 1) % BlockTokens != 0)
      continue;
    Previous = stableHash(Block, Previous);
    Hashes.push_back(Previous);
    Block.clear();
  }
  return Hashes;
}

PrefixCache::PrefixCache(std::size_t MaxTokens, std::size_t RetainedEvents,
                         std::uint64_t DroppedEventInterval)
    : MaxBlocks_(MaxTokens / BlockTokens), RetainedEvents_(RetainedEvents),
      DroppedEventInterval_(DroppedEventInterval) {}

std::size_t PrefixCache::match(std::vector<std::uint64_t> const &Blocks) {
  std::size_t Matched = 0;
  for (auto const Block : Blocks) {
    auto const Found = Blocks_.find(Block);
    if (Found == Blocks_.end())
      break;
    LruList_.splice(LruList_.begin(), LruList_, Found->second);
    ++Matched;
  }
  return Matched * BlockTokens;
}

void PrefixCache::store(std::vector<std::uint64_t> const &Blocks) {
  for (auto const Block : Blocks) {
    auto const Found = Blocks_.find(Block);
    if (Found != Blocks_.end()) {
      LruList_.splice(LruList_.begin(), LruList_, Found->second);
      continue;
    }
    LruList_.push_front(Block);
    Blocks_[Block] = LruList_.begin();
    recordEvent(CacheEventKind::Stored, Block);
  }
  while (Blocks_.size() > MaxBlocks_) {
    recordEvent(CacheEventKind::Evicted, LruList_.back());
    Blocks_.erase(LruList_.back());
    LruList_.pop_back();
  }
}

void PrefixCache::recordEvent(CacheEventKind Kind, std::uint64_t Block) {
  auto const Sequence = NextSequence_++;
  if (DroppedEventInterval_ != 0 && Sequence % DroppedEventInterval_ == 0)
    return;
  Events_.push_back({Sequence, Kind, Block});
  if (Events_.size() > RetainedEvents_)
    Events_.pop_front();
}

CacheEvents PrefixCache::eventsFrom(std::uint64_t Sequence) const {
  CacheEvents Answer;
  Answer.Next_ = NextSequence_;
  for (auto const &Event : Events_)
    if (Event.Sequence_ >= Sequence)
      Answer.Events_.push_back(Event);
  auto const First = std::max<std::uint64_t>(Sequence, 1);
  auto const Expected = NextSequence_ > First ? NextSequence_ - First : 0;
  Answer.HasGap_ = Answer.Events_.size() < Expected;
  return Answer;
}

} // namespace laburnum
