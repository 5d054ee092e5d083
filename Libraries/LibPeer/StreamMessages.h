#pragma once

#include <LibCore/Time.h>
#include <LibModel/EntryInstance.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// Names a model's stream: keys of different accounts are different streams.
struct StreamName {
  AccountName Account_;
  IdempotencyKey Key_;

  auto operator<=>(StreamName const &) const = default;
};

/// What a stream is generated from.
struct StreamContent {
  ServiceName Service_;
  std::uint64_t Fingerprint_ = 0;
  std::string Prompt_;
  std::uint32_t MaxTokens_ = 0;
  std::int32_t Priority_ = 0;
  Duration Remaining_{}; ///< Until the deadline, when sent.

  auto operator<=>(StreamContent const &) const = default;
};

/// Which generation of a stream, and which of its owners in turn, tokens are
/// from. Of the same run the higher number is in force, then the higher owner;
/// of two runs the one that began later.
struct StreamEpoch {
  RequestId Run_; ///< The request that began at the first token.
  std::uint32_t Number_ = 0;
  InstanceId Owner_;
  Duration Age_{}; ///< Of the run, when sent.

  auto operator<=>(StreamEpoch const &) const = default;
};

enum class StreamPhase {
  Running,
  Stopped, ///< No attempt is under way; it can be resumed from its tokens.
  Whole,
};

/// Tokens of a stream, kept by the receiver in case the owner dies. Answered by
/// a StreamState that says how many tokens the receiver holds.
struct StreamCheckpoint {
  StreamName Name_;
  EntryInstance Owner_; ///< The sender.
  StreamEpoch Epoch_;
  StreamContent Content_;  ///< Left empty when From_ is not 0.
  std::uint32_t From_ = 0; ///< The offset of the first of Tokens_.
  std::vector<std::string> Tokens_;
  std::uint32_t Total_ = 0; ///< Tokens that the sender has.
  StreamPhase Phase_ = StreamPhase::Running;

  auto operator<=>(StreamCheckpoint const &) const = default;
};

enum class StreamAsk {
  Find,  ///< An owner hands the stream over; others say what they know.
  Adopt, ///< The owner does not answer: hand over the checkpoint.
};

/// A caller came to the sender for a stream that it does not own.
struct StreamQuery {
  StreamName Name_;
  std::uint64_t Fingerprint_ = 0;
  EntryInstance Asker_;
  std::uint64_t Ticket_ = 0; ///< Sent back with the answer; not 0.
  StreamAsk Ask_ = StreamAsk::Find;

  auto operator<=>(StreamQuery const &) const = default;
};

enum class StreamKnowledge {
  Unknown,
  Held,      ///< The sender holds Count_ tokens of a stream of Owner_.
  Owned,     ///< The sender owns it; the answer to a StreamHandOver.
  Moved,     ///< Owner_ owns it now; an older epoch is to stop.
  KeyReused, ///< The key names a request with other content.
};

/// What the sender knows of a stream.
struct StreamState {
  StreamName Name_;
  std::uint64_t Ticket_ = 0; ///< Of the query that it answers, or 0.
  StreamKnowledge Knowledge_ = StreamKnowledge::Unknown;
  StreamEpoch Epoch_;
  EntryInstance Owner_;
  std::uint32_t Count_ = 0;

  auto operator<=>(StreamState const &) const = default;
};

/// Makes the receiver the owner once it holds all tokens. The sender generates
/// no more. Answered by a StreamState: Held asks for the tokens from Count_ on,
/// Owned ends the hand-over.
struct StreamHandOver {
  StreamCheckpoint Stream_;  ///< With the new owner's epoch.
  std::uint64_t Ticket_ = 0; ///< Of the query that asked for it, or 0.

  auto operator<=>(StreamHandOver const &) const = default;
};

} // namespace laburnum
