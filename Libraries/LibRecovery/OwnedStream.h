#pragma once

#include <LibRecovery/KeptStream.h>

#include <optional>
#include <set>

namespace laburnum::streams {

/// Giving a stream to another instance.
struct HandOver {
  EntryInstance To_;
  std::uint64_t Ticket_ = 0; ///< Of the query that asked for it, or 0.
  Epoch Epoch_;              ///< The new owner's.
  std::uint32_t From_ = 0;   ///< The first token that the receiver lacks.
  TimePoint Began_{};
  TimePoint SentAt_{};
  std::set<InstanceId> Tried_; ///< Receivers that did not answer.
};

/// Keeping a stream's checkpoint at another instance.
struct CheckpointSending {
  std::optional<EntryInstance> Keeper_;
  std::uint32_t Kept_ = 0; ///< Tokens that the keeper says it holds.
  std::uint32_t Sent_ = 0;
  bool IsEndSent_ = false;
  TimePoint SentAt_{};
};

/// A stream that this instance owns, or owned until it was handed over.
struct OwnedStream {
  KeptStream Stream_;
  TimePoint Resumed_{};         ///< When this instance began to generate.
  std::uint32_t ResumedAt_ = 0; ///< The tokens known then.
  Reader Reader_ = 0;           ///< The newest; 0 before the first.
  bool IsAttached_ = false;
  bool IsDelivered_ = false; ///< A caller received it to its end.
  TimePoint Detached_{};
  TimePoint Ended_{};
  CheckpointSending Checkpoint_;
  std::optional<HandOver> HandOver_;

  bool isRunning() const {
    return Stream_.Phase_ == StreamPhase::Running && !HandOver_;
  }
  /// How long the rest takes at the pace so far; nothing before a token came.
  std::optional<Duration> expectedRemaining(TimePoint Now) const;
};

} // namespace laburnum::streams
