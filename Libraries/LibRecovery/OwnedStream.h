#pragma once

#include <LibRecovery/RetainedStream.h>

#include <optional>
#include <set>

namespace laburnum::streams {

/// A pending hand-over of a stream to another instance.
struct HandOver {
  EntryInstance To_;
  std::uint64_t Ticket_ = 0; ///< Of the query that requested it, or 0.
  Epoch Epoch_;              ///< The new owner's.
  std::uint32_t From_ = 0;   ///< The first token that the receiver lacks.
  TimePoint Began_{};
  TimePoint SentAt_{};
  std::set<InstanceId> Tried_; ///< Receivers that did not answer.
};

/// How far a stream's checkpoint at another instance has progressed.
struct CheckpointProgress {
  std::optional<EntryInstance> Holder_;
  std::uint32_t AcknowledgedTokens_ = 0; ///< Reported as held by Holder_.
  std::uint32_t SentTokens_ = 0;
  bool IsEndSent_ = false;
  TimePoint SentAt_{};
};

/// A stream that this instance owns, or is handing over.
struct OwnedStream {
  RetainedStream Stream_;
  TimePoint Resumed_{};         ///< When this instance began to generate.
  std::uint32_t ResumedAt_ = 0; ///< The token count at Resumed_.
  Reader Reader_ = 0;           ///< The latest; 0 before the first.
  bool IsAttached_ = false;
  bool IsDelivered_ = false; ///< A caller received it completely.
  TimePoint Detached_{};
  TimePoint Ended_{};
  CheckpointProgress Checkpoint_;
  std::optional<HandOver> HandOver_;

  bool isRunning() const {
    return Stream_.Phase_ == StreamPhase::Running && !HandOver_;
  }
  /// The estimated time until the last token, at the mean rate since Resumed_.
  /// Empty before the first token since then.
  std::optional<Duration> expectedRemaining(TimePoint Now) const;
};

} // namespace laburnum::streams
