#pragma once

#include <EngineStandin/EngineSettings.h>
#include <EngineStandin/PrefixCache.h>
#include <LibBackend/EngineMessages.h>
#include <LibCore/Result.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// One attempt at a request, as the engine knows it.
struct StreamKey {
  RequestId Request_;
  AttemptNumber Attempt_ = 1;

  auto operator<=>(StreamKey const &) const = default;
};

/// The process is to end at once.
struct EngineCrash {
  auto operator<=>(EngineCrash const &) const = default;
};

struct EngineOutput {
  StreamKey Stream_;
  std::variant<TokenPiece, CompletionDone, EngineCrash> Message_;

  auto operator<=>(EngineOutput const &) const = default;
};

struct EngineLoad {
  LoadReport Load_;
  std::size_t KvTokens_ = 0;

  auto operator<=>(EngineLoad const &) const = default;
};

struct EngineCounts {
  std::uint64_t Started_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t Finished_ = 0;
  std::uint64_t TokensGenerated_ = 0;
  std::uint64_t PromptTokensComputed_ = 0;

  auto operator<=>(EngineCounts const &) const = default;
};

struct EngineOrder {
  std::uint64_t Fencing_ = 0;
  std::string OrderId_;
  std::string Kind_;
  std::string Argument_;

  auto operator<=>(EngineOrder const &) const = default;
};

/// The text of a completion's token; it depends on the prompt and the offset
/// only, so that every attempt at a prompt yields the same stream.
std::string tokenText(std::string const &Prompt, std::uint32_t Offset);

/// A model engine without its connections: continuous batching by priority,
/// a prefix cache and a KV memory. Time comes in with each call.
class EngineCore {
public:
  explicit EngineCore(EngineSettings Settings);

  /// Queues a completion. InvalidArgument when Produced_ is not what this
  /// engine would have produced, or when it can never fit in the KV memory;
  /// Conflict when the same attempt is known.
  Result<Success> submit(CompletionCall const &Call, TimePoint Now);

  void cancel(StreamKey const &Stream, TimePoint Now);

  /// All that is due until Now, in the order of time.
  std::vector<EngineOutput> advance(TimePoint Now);

  /// When advance() has something to do next; none when nothing runs.
  std::optional<TimePoint> nextDue() const;

  EngineLoad load() const;
  /// The load as it was the configured lag ago.
  EngineLoad laggingLoad(TimePoint Now) const;
  EngineCounts const &counts() const { return Counts_; }
  CacheEvents eventsFrom(std::uint64_t Sequence) const;

  /// The cached blocks of a running request; NotFound when it does not run.
  Result<std::vector<std::uint64_t>> exportBlocks(RequestId const &Request);
  void importBlocks(std::vector<std::uint64_t> const &Blocks);

  /// Conflict when the fencing number is old and the engine honours it. An
  /// order that was applied before is not applied again.
  Result<Success> order(EngineOrder const &Order);
  std::vector<EngineOrder> const &orders() const { return Orders_; }

private:
  struct Work {
    CompletionCall Call_;
    std::vector<std::string> Tokens_; ///< Of the prompt and produced so far.
    std::uint32_t NextOffset_ = 0;
    std::uint32_t Generated_ = 0;
    std::uint32_t Computed_ = 0;
    TimePoint NextDue_{};
    std::size_t KvTokens_ = 0;
  };
  /// Higher priority first, then the order of arrival.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  bool isKnown(StreamKey const &Stream) const;
  void admit(TimePoint Now);
  void start(Work One, TimePoint Now);
  void produce(std::map<StreamKey, Work>::iterator At,
               std::vector<EngineOutput> &Outputs);
  void end(std::map<StreamKey, Work>::iterator At, TimePoint Now);
  std::map<StreamKey, Work>::iterator earliest();
  void noteLoad(TimePoint Now);

  EngineSettings const Settings_;
  PrefixCache Cache_;
  std::map<StreamKey, Work> Running_;
  std::map<QueueKey, Work> Queue_;
  std::uint64_t Arrivals_ = 0;
  std::size_t KvTokens_ = 0;
  EngineCounts Counts_;
  std::deque<std::pair<TimePoint, EngineLoad>> LoadHistory_;
  std::uint64_t HighestFencing_ = 0;
  std::set<std::string> AppliedOrders_;
  std::vector<EngineOrder> Orders_;
};

} // namespace laburnum
