#pragma once

#include <LibCore/Time.h>
#include <LibModel/EntryInstance.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// Identifies a model's stream. The same key of another account names another
/// stream.
struct StreamName {
  AccountName Account_;
  IdempotencyKey Key_;

  auto operator<=>(StreamName const &) const = default;
};

/// The request that a stream is generated from.
struct StreamContent {
  ServiceName Service_;
  std::uint64_t Fingerprint_ = 0;
  std::string Prompt_;
  std::uint32_t MaxTokens_ = 0;
  std::int32_t Priority_ = 0;
  Duration Remaining_{}; ///< Until the deadline, when sent.

  auto operator<=>(StreamContent const &) const = default;
};

/// Identifies the generation run and the successive owner that tokens come
/// from. Within a run the epoch with the higher number, then the higher owner,
/// is in force; of two runs, the one that started later.
struct StreamEpoch {
  RequestId Run_; ///< The request that started at the first token.
  std::uint32_t Number_ = 0;
  InstanceId Owner_;
  Duration Age_{}; ///< Of the run, when sent.

  auto operator<=>(StreamEpoch const &) const = default;
};

enum class StreamPhase {
  Running,
  Stopped, ///< No attempt is running; it can be resumed from its tokens.
  Complete,
};

/// Tokens of a stream, kept by the receiver in case the owner crashes. Answered
/// by a StreamState with the number of tokens that the receiver holds.
struct StreamCheckpoint {
  StreamName Name_;
  EntryInstance Owner_; ///< The sender.
  StreamEpoch Epoch_;
  StreamContent Content_;  ///< Empty unless From_ is 0.
  std::uint32_t From_ = 0; ///< The offset of the first of Tokens_.
  std::vector<std::string> Tokens_;
  std::uint32_t Total_ = 0; ///< Number of tokens that the sender holds.
  StreamPhase Phase_ = StreamPhase::Running;

  auto operator<=>(StreamCheckpoint const &) const = default;
};

enum class StreamQueryMode {
  Find,  ///< The owner hands the stream over; others answer with their state.
  Adopt, ///< The owner does not answer: the receiver hands over its checkpoint.
};

/// Sent when a caller requests a stream that the sender does not own.
struct StreamQuery {
  StreamName Name_;
  std::uint64_t Fingerprint_ = 0;
  EntryInstance Requester_;
  std::uint64_t Ticket_ = 0; ///< Echoed in the answer; not 0.
  StreamQueryMode Mode_ = StreamQueryMode::Find;

  auto operator<=>(StreamQuery const &) const = default;
};

enum class StreamKnowledge {
  Unknown,
  Held,      ///< The sender holds Count_ tokens of a stream of Owner_.
  Owned,     ///< The sender owns it; the answer to a StreamHandOver.
  Moved,     ///< Owner_ owns it now; runs of an older epoch have to stop.
  KeyReused, ///< The key was used for a request with different content.
};

/// The sender's state of a stream.
struct StreamState {
  StreamName Name_;
  std::uint64_t Ticket_ = 0; ///< Ticket of the query it answers, or 0.
  StreamKnowledge Knowledge_ = StreamKnowledge::Unknown;
  StreamEpoch Epoch_;
  EntryInstance Owner_;
  std::uint32_t Count_ = 0;

  auto operator<=>(StreamState const &) const = default;
};

/// Makes the receiver the owner once it holds all tokens. The sender generates
/// no more tokens. Answered by a StreamState: Held requests the tokens from
/// Count_ on, Owned completes the hand-over.
struct StreamHandOver {
  StreamCheckpoint Stream_;  ///< With the new owner's epoch.
  std::uint64_t Ticket_ = 0; ///< Ticket of the query it answers, or 0.

  auto operator<=>(StreamHandOver const &) const = default;
};

} // namespace laburnum
