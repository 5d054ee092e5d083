#pragma once

#include <LibRecovery/StreamEvents.h>

#include <tuple>

namespace laburnum::streams {

/// A run and owner as one instance sees them: with the run's begin by its own
/// clock in place of an age.
struct Epoch {
  RequestId Run_;
  std::uint32_t Number_ = 0;
  InstanceId Owner_;
  TimePoint Began_{};

  static Epoch from(StreamEpoch const &Told, TimePoint Now) {
    return {Told.Run_, Told.Number_, Told.Owner_, Now - Told.Age_};
  }
  StreamEpoch at(TimePoint Now) const {
    return {Run_, Number_, Owner_, Now - Began_};
  }
  Epoch next(InstanceId const &Owner) const {
    return {Run_, Number_ + 1, Owner, Began_};
  }
  bool isSame(Epoch const &Other) const {
    return Run_ == Other.Run_ && Number_ == Other.Number_ &&
           Owner_ == Other.Owner_;
  }
  /// Whether this one is in force and Other is not.
  bool supersedes(Epoch const &Other) const {
    if (Run_ != Other.Run_)
      return Began_ > Other.Began_;
    return std::tie(Number_, Owner_) > std::tie(Other.Number_, Other.Owner_);
  }
};

/// A stream as far as an instance knows it.
struct KeptStream {
  Epoch Epoch_;
  StreamContent Content_;
  TimePoint Deadline_{};
  Tokens Tokens_;
  StreamPhase Phase_ = StreamPhase::Running;

  std::uint32_t count() const {
    return static_cast<std::uint32_t>(Tokens_.size());
  }
  /// Whether the caller's tokens are the first of this stream's.
  bool continuesFor(StreamWanted const &Wanted) const;
  /// Appends the tokens behind those known; false when there is a hole.
  bool append(std::uint32_t From, Tokens const &More);
  /// The content with the time that is left.
  StreamContent contentAt(TimePoint Now) const;
  /// The part from From on, of at most Most tokens.
  StreamCheckpoint part(StreamName const &Name, EntryInstance const &Owner,
                        std::uint32_t From, std::size_t Most,
                        TimePoint Now) const;
};

} // namespace laburnum::streams
