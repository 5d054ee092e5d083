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

/// What goes into a StreamLedger and what comes out.
namespace laburnum::streams {

using Tokens = std::vector<std::string>;

/// Numbers the callers of this process that wait for a stream; never 0.
using Ticket = std::uint64_t;
/// Numbers the connections that a stream was attached to; later ones are
/// higher.
using Reader = std::uint64_t;

/// Whether the caller named the stream, so that it may be known somewhere.
enum class Naming { ByCaller, ByThisInstance };

// Events.

/// A caller wants the stream from token From_ on. Is followed, sooner or later,
/// by one of AttachReader, StartStream or RefuseStream with its ticket.
struct StreamWanted {
  Ticket Ticket_ = 0;
  StreamName Name_;
  StreamContent Content_;
  std::uint32_t From_ = 0;
  std::optional<TokenDigest> Digest_; ///< Of the tokens before From_, if known.
  Naming Naming_ = Naming::ByCaller;
  RequestId Run_; ///< Names the run if the stream starts anew.
};
/// The caller of this ticket was connected to the stream.
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
/// Tokens from offset From_ on; those known already are skipped.
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
/// Answers CloseStream: the tokens that the ledger had not seen, if any.
struct StreamClosed {
  StreamName Name_;
  std::uint32_t From_ = 0;
  Tokens Tokens_;
};
struct MembersChanged {
  std::vector<Member> Members_; ///< Includes this instance.
};
struct PeerSaid {
  InstanceId From_;
  std::variant<StreamCheckpoint, StreamQuery, StreamState, StreamHandOver>
      Message_;
};
/// This instance stops, or is gone, after Within_.
struct OwnLeaving {
  Duration Within_{};
};
/// Sent at least every 100 ms.
struct TimePassed {};

using Event = std::variant<StreamWanted, ReaderAttached, ReaderLeft,
                           TokensProduced, FlowEnded, StreamClosed,
                           MembersChanged, PeerSaid, OwnLeaving, TimePassed>;

// Actions.

/// Run the request from its tokens so far, and connect the caller, if any.
struct StartStream {
  std::optional<Ticket> Ticket_;
  StreamName Name_;
  StreamEpoch Epoch_;
  StreamContent Content_;
  Tokens Produced_;
  std::uint32_t From_ = 0;
  StreamPhase Phase_ =
      StreamPhase::Running; ///< Whole: there is nothing to run.
  auto operator<=>(StartStream const &) const = default;
};
/// Connect the caller to the stream that is here, or refuse it if the tokens
/// that it has are not this stream's.
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
/// End the flow, cancelling its attempt, and answer with StreamClosed at once.
/// The caller's connection waits.
struct CloseStream {
  StreamName Name_;
  std::uint32_t From_ = 0; ///< The first token that the ledger has not seen.
  auto operator<=>(CloseStream const &) const = default;
};
/// Tell the caller that the stream goes on elsewhere.
struct TellMoved {
  StreamName Name_;
  auto operator<=>(TellMoved const &) const = default;
};
/// The stream was taken over from a checkpoint while this instance was cut off:
/// its caller here may have tokens that the new owner does not know.
struct TellSuperseded {
  StreamName Name_;
  auto operator<=>(TellSuperseded const &) const = default;
};
/// Nothing of the stream is needed here any more.
struct ForgetStream {
  StreamName Name_;
  auto operator<=>(ForgetStream const &) const = default;
};

using Action =
    std::variant<SendToPeer, StartStream, AttachReader, RefuseStream,
                 CloseStream, TellMoved, TellSuperseded, ForgetStream>;
using Actions = std::vector<Action>;

struct Settings {
  EntryInstance Self_;
  /// A stream of fewer tokens is not checkpointed.
  std::uint32_t LeastCheckpointed_ = 64;
  /// Between two checkpoints at least so many tokens, and at least so long.
  std::uint32_t CheckpointTokens_ = 32;
  Duration CheckpointPeriod_ = std::chrono::seconds(2);
  /// How long a search waits for peers, for each of its steps.
  Duration SearchTimeout_ = std::chrono::milliseconds(300);
  /// A hand-over without an answer is sent again after this time.
  Duration HandOverRetry_ = std::chrono::milliseconds(200);
  /// After so long another receiver is tried.
  Duration HandOverPatience_ = std::chrono::milliseconds(1000);
  /// How long a stream runs on without a caller.
  Duration DetachedLimit_ = std::chrono::seconds(30);
  /// How long an ended stream, or a checkpoint that is not renewed, is kept.
  Duration Retention_ = std::chrono::minutes(5);
  /// The most tokens kept of streams that have ended and of checkpoints.
  std::size_t MostKeptTokens_ = 500'000;
  /// The most tokens in one message.
  std::size_t TokensPerMessage_ = 8192;
  /// The most instances that one search asks.
  std::size_t MostAsked_ = 64;
};

/// Counts for the metrics.
struct Counts {
  std::uint64_t HandedOver_ = 0; ///< Given to another owner.
  std::uint64_t TakenOver_ = 0;  ///< Received from another owner.
  std::uint64_t Resumed_ = 0;    ///< Callers that came back and were served.
  std::uint64_t CheckpointBytes_ = 0; ///< Of prompts and tokens sent.

  auto operator<=>(Counts const &) const = default;
};

} // namespace laburnum::streams
