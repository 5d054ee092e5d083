#include <LibTraffic/WorkPlacement.h>

#include <algorithm>
#include <optional>

namespace laburnum {

namespace {

/// Servers that may keep the request's shared parts.
constexpr std::size_t PreferredServers = 2;
/// Servers drawn at random. With two, no server gets more than twice the mean
/// while all instances use the same reports.
constexpr std::size_t DrawnServers = 2;
/// Fraction of what a server reads that requests may prefer it for. The rest is
/// left for requests that are drawn to it.
constexpr double PreferredFraction = 0.7;
/// Weight of tokens that are read again: they delay the requests behind them,
/// too.
constexpr double RereadWeight = 2.0;
/// Fraction of the shared tokens that the second preferred server is expected
/// to keep.
constexpr double SecondKeptFraction = 0.5;
/// Fraction of a server's memory that requests in progress may hold. Beyond it
/// the server would preempt some of them.
constexpr double UsedMemoryFraction = 0.9;
/// Speed that is assumed until one has been observed.
constexpr double DefaultTokensPerSecond = 50000.0;

double readingSpeed(EngineEstimate const &Engine) {
  return Engine.TokensPerSecond_ > 0.0 ? Engine.TokensPerSecond_
                                       : DefaultTokensPerSecond;
}

bool hasMemory(PlacementCandidate const &Server, RequestWork const &Work,
               EngineEstimate const &Engine) {
  return Engine.MemoryTokens_ == 0 ||
         static_cast<double>(Server.Load_.MemoryTokens_ +
                             Work.memoryTokens()) <=
             UsedMemoryFraction * static_cast<double>(Engine.MemoryTokens_);
}

/// Returns the share of the requests that prefer the server which it can serve.
double preferredShare(PlacementCandidate const &Server,
                      EngineEstimate const &Engine) {
  auto const Capacity =
      PreferredFraction * readingSpeed(Engine) / Server.Slowdown_;
  return Server.Load_.PreferredPerSecond_ <= Capacity
             ? 1.0
             : Capacity / Server.Load_.PreferredPerSecond_;
}

} // namespace

Placement placeByWork(std::vector<PlacementCandidate> const &Candidates,
                      RequestWork const &Work, EngineEstimate const &Engine,
                      std::mt19937_64 &Generator) {
  auto const Shared =
      static_cast<double>(Work.PromptTokens_ - Work.unsharedTokens());
  struct Option {
    Placement Placement_;
    bool HasMemory_ = false;
  };
  std::optional<Option> Best;
  auto const Consider = [&](std::size_t Index, double KeptTokens) {
    auto const &Server = Candidates[Index];
    auto const Tokens = static_cast<double>(Server.Load_.UnreadTokens_ +
                                            Work.unsharedTokens()) +
                        RereadWeight * (Shared - KeptTokens);
    std::chrono::duration<double> const Reading(Tokens * Server.Slowdown_ /
                                                readingSpeed(Engine));
    Option const Found{
        {Index,
         Server.Distance_ + std::chrono::duration_cast<Duration>(Reading)},
        hasMemory(Server, Work, Engine)};
    if (!Best || (Found.HasMemory_ && !Best->HasMemory_) ||
        (Found.HasMemory_ == Best->HasMemory_ &&
         Found.Placement_.FirstEvent_ < Best->Placement_.FirstEvent_))
      Best = Found;
  };
  std::size_t Skipped = 0;
  if (Shared > 0.0) {
    std::bernoulli_distribution UsesFirst(
        preferredShare(Candidates.front(), Engine));
    if (UsesFirst(Generator))
      Consider(0, Shared);
    Skipped = std::min(PreferredServers, Candidates.size());
    if (Skipped == PreferredServers)
      Consider(1, SecondKeptFraction * Shared);
  }
  if (Skipped < Candidates.size()) {
    std::uniform_int_distribution<std::size_t> Draw(Skipped,
                                                    Candidates.size() - 1);
    for (std::size_t Drawn = 0; Drawn < DrawnServers; ++Drawn)
      Consider(Draw(Generator), 0.0);
  }
  // The only candidate was not to be compared.
  if (!Best)
    Consider(0, Shared);
  return Best->Placement_;
}

} // namespace laburnum
