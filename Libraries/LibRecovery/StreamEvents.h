#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibServing/FailureAnswer.h>
#include <LibServing/TokenDigest.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The events, actions and settings of the StreamRegistry.
namespace laburnum::streams {

using Tokens = std::vector<std::string>;

/// Identifies a caller of this process that waits for a stream; never 0.
using Ticket = std::uint64_t;
/// Identifies a caller's connection to a stream; later connections have higher
/// numbers.
using Reader = std::uint64_t;

/// Who chose the stream's key. Only a stream named by its caller may already
/// exist, here or at a peer.
enum class Naming { ByCaller, ByThisInstance };

// Events.

/// A caller requests the stream from token From_ on. It is eventually answered
/// by one AttachReader, StartStream or RefuseStream with the same ticket.
struct StreamRequested {
  Ticket Ticket_ = 0;
  StreamName Name_;
  StreamContent Content_;
  std::uint32_t From_ = 0;
  std::optional<TokenDigest> Digest_; ///< Of the tokens before From_, if known.
  Naming Naming_ = Naming::ByCaller;
  RequestId Run_; ///< Identifies the run if the stream starts anew.
};
/// A caller's connection was attached to the stream.
struct ReaderAttached {
  StreamName Name_;
  Reader Reader_ = 0;
};
enum class Received { Part, Complete };
struct ReaderLeft {
  StreamName Name_;
  Reader Reader_ = 0;
  Received Received_ = Received::Part;
};
/// Tokens from offset From_ on; those already known are skipped.
struct TokensProduced {
  StreamName Name_;
  StreamEpoch Epoch_;
  std::uint32_t From_ = 0;
  Tokens Tokens_;
};
/// The request's flow ended; Tokens_ as in TokensProduced.
struct FlowEnded {
  StreamName Name_;
  StreamEpoch Epoch_;
  StreamPhase Phase_ =
      StreamPhase::Complete; ///< Whole, or Stopped if it failed.
  std::uint32_t From_ = 0;
  Tokens Tokens_;
};
/// Answers CloseStream with the tokens that the registry had not received, if
/// any.
struct StreamClosed {
  StreamName Name_;
  std::uint32_t From_ = 0;
  Tokens Tokens_;
};
struct MembersChanged {
  std::vector<Member> Members_; ///< Includes this instance.
};
struct PeerMessageReceived {
  InstanceId From_;
  std::variant<StreamCheckpoint, StreamQuery, StreamState, StreamHandOver>
      Message_;
};
/// This instance stops, or is reclaimed, after Within_.
struct LocalInstanceLeaving {
  Duration Within_{};
};
/// Sent at least every 100 ms.
struct TimePassed {};

using Event =
    std::variant<StreamRequested, ReaderAttached, ReaderLeft, TokensProduced,
                 FlowEnded, StreamClosed, MembersChanged, PeerMessageReceived,
                 LocalInstanceLeaving, TimePassed>;

// Actions.

/// Resume the request after the tokens produced so far, and connect the caller,
/// if any.
struct StartStream {
  std::optional<Ticket> Ticket_;
  StreamName Name_;
  StreamEpoch Epoch_;
  StreamContent Content_;
  Tokens Produced_;
  std::uint32_t From_ = 0;
  StreamPhase Phase_ =
      StreamPhase::Running; ///< Whole: there is nothing to generate.
  auto operator<=>(StartStream const &) const = default;
};
/// Connect the caller to the local stream, or refuse it if the tokens that it
/// already has are not a prefix of the stream's.
struct AttachReader {
  Ticket Ticket_ = 0;
  StreamName Name_;
  std::uint32_t From_ = 0;
  auto operator<=>(AttachReader const &) const = default;
};
struct RefuseStream {
  Ticket Ticket_ = 0;
  FailureAnswer Failure_;
  auto operator<=>(RefuseStream const &) const = default;
};
/// End the flow, cancel its attempt, and answer with StreamClosed at once. The
/// caller's connection stays open until a later action.
struct CloseStream {
  StreamName Name_;
  std::uint32_t From_ = 0; ///< The first token that the registry lacks.
  auto operator<=>(CloseStream const &) const = default;
};
/// Notify the caller that another instance continues the stream.
struct NotifyMoved {
  StreamName Name_;
  auto operator<=>(NotifyMoved const &) const = default;
};
/// Notify the caller that the stream was taken over from a checkpoint while
/// this instance was partitioned from its peers: the caller may have tokens
/// that the new owner does not know.
struct NotifySuperseded {
  StreamName Name_;
  auto operator<=>(NotifySuperseded const &) const = default;
};
/// Release all local state of the stream.
struct ForgetStream {
  StreamName Name_;
  auto operator<=>(ForgetStream const &) const = default;
};

using Action =
    std::variant<SendToPeer, StartStream, AttachReader, RefuseStream,
                 CloseStream, NotifyMoved, NotifySuperseded, ForgetStream>;
using Actions = std::vector<Action>;

struct Settings {
  EntryInstance Self_;
  /// A stream with a lower MaxTokens_ is not checkpointed.
  std::uint32_t MinCheckpointedTokens_ = 64;
  /// The minimum number of tokens and the minimum time between two checkpoints.
  std::uint32_t CheckpointTokens_ = 32;
  Duration CheckpointPeriod_ = std::chrono::seconds(2);
  /// How long each step of a search waits for peers' answers.
  Duration SearchTimeout_ = std::chrono::milliseconds(300);
  /// An unanswered hand-over is sent again after this time.
  Duration HandOverRetry_ = std::chrono::milliseconds(200);
  /// After this time without an answer the hand-over goes to another receiver,
  /// or is cancelled if this instance is not leaving.
  Duration HandOverTimeout_ = std::chrono::milliseconds(1000);
  /// How long a stream keeps generating without a connected caller.
  Duration DetachedLimit_ = std::chrono::seconds(30);
  /// How long an ended stream, or a checkpoint that is not renewed, is
  /// retained.
  Duration Retention_ = std::chrono::minutes(5);
  /// The maximum number of tokens retained of ended streams, and likewise of
  /// checkpoints.
  std::size_t MaxRetainedTokens_ = 500'000;
  /// The maximum number of tokens in one message.
  std::size_t TokensPerMessage_ = 8192;
  /// The maximum number of instances that one search queries.
  std::size_t MaxQueriedInstances_ = 64;
};

/// Counts for the metrics.
struct Counts {
  std::uint64_t HandedOver_ = 0; ///< Streams handed to another owner.
  std::uint64_t TakenOver_ = 0;  ///< Streams taken over from another owner.
  std::uint64_t Resumed_ = 0;    ///< Callers that reconnected and were served.
  std::uint64_t CheckpointBytes_ = 0; ///< Of prompts and tokens sent.

  auto operator<=>(Counts const &) const = default;
};

} // namespace laburnum::streams
