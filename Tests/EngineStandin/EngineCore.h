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

/// Identifies an attempt at a request.
struct StreamKey {
  RequestId Request_;
  AttemptNumber Attempt_ = 1;

  auto operator<=>(StreamKey const &) const = default;
};

/// Requests the process to exit at once.
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

/// The text of a generated token. It depends on the prompt and the offset only,
/// so that every attempt at a prompt yields the same stream.
std::string tokenText(std::string const &Prompt, std::uint32_t Offset);

/// A model engine without I/O: continuous batching by priority, a prefix cache
/// and a KV memory. Callers pass the current time.
class EngineCore {
public:
  explicit EngineCore(EngineSettings Settings);

  /// Queues a completion. Fails with InvalidArgument if Produced_ differs from
  /// what this engine would have produced or if the request exceeds the KV
  /// memory, and with Conflict if the attempt is already queued or running.
  Result<Success> submit(CompletionCall const &Call, TimePoint Now);

  void cancel(StreamKey const &Stream, TimePoint Now);

  /// All outputs due until Now, in order of time.
  std::vector<EngineOutput> advance(TimePoint Now);

  /// When advance() has output next; nullopt if nothing runs.
  std::optional<TimePoint> nextDue() const;

  EngineLoad load() const;
  /// The load at the configured lag before Now.
  EngineLoad laggingLoad(TimePoint Now) const;
  EngineCounts const &counts() const { return Counts_; }
  CacheEvents eventsFrom(std::uint64_t Sequence) const;

  /// The cached blocks of a running request. Fails with NotFound if it does not
  /// run.
  Result<std::vector<std::uint64_t>> exportBlocks(RequestId const &Request);
  void importBlocks(std::vector<std::uint64_t> const &Blocks);

  /// Applies an order once. Fails with Conflict if the fencing number is old
  /// and the engine honours it.
  Result<Success> order(EngineOrder const &Order);
  std::vector<EngineOrder> const &orders() const { return Orders_; }

private:
  struct Job {
    CompletionCall Call_;
    std::vector<std::string> Tokens_; ///< Prompt and generated tokens.
    std::uint32_t NextOffset_ = 0;
    std::uint32_t Generated_ = 0;
    std::uint32_t Computed_ = 0;
    TimePoint NextDue_{};
    std::size_t KvTokens_ = 0;
  };
  /// Negated priority, then the arrival number.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  bool isKnown(StreamKey const &Stream) const;
  void admit(TimePoint Now);
  void start(Job One, TimePoint Now);
  void produce(std::map<StreamKey, Job>::iterator At,
               std::vector<EngineOutput> &Outputs);
  void end(std::map<StreamKey, Job>::iterator At, TimePoint Now);
  std::map<StreamKey, Job>::iterator earliestDue();
  void recordLoad(TimePoint Now);

  EngineSettings const Settings_;
  PrefixCache Cache_;
  std::map<StreamKey, Job> Running_;
  std::map<QueueKey, Job> Queue_;
  std::uint64_t Arrivals_ = 0;
  std::size_t KvTokens_ = 0;
  EngineCounts Counts_;
  std::deque<std::pair<TimePoint, EngineLoad>> LoadHistory_;
  std::uint64_t HighestFencing_ = 0;
  std::set<std::string> AppliedOrders_;
  std::vector<EngineOrder> Orders_;
};

} // namespace laburnum
