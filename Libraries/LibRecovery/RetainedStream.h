#pragma once

#include <LibRecovery/StreamEvents.h>

#include <tuple>

namespace laburnum::streams {

/// A run of a stream and its owner, as one instance tracks them: the start of
/// the run is a time of the local clock, whereas StreamEpoch carries an age.
struct Epoch {
  RequestId Run_;
  std::uint32_t Number_ = 0;
  InstanceId Owner_;
  TimePoint Began_{};

  static Epoch from(StreamEpoch const &WireEpoch, TimePoint Now) {
    return {WireEpoch.Run_, WireEpoch.Number_, WireEpoch.Owner_,
            Now - WireEpoch.Age_};
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
  /// Whether this epoch takes precedence over Other: a later run, or within a
  /// run the higher number, with ties broken by the owner's identifier.
  bool supersedes(Epoch const &Other) const {
    if (Run_ != Other.Run_)
      return Began_ > Other.Began_;
    return std::tie(Number_, Owner_) > std::tie(Other.Number_, Other.Owner_);
  }
};

/// The content, tokens and phase of a stream, as far as this instance has them.
struct RetainedStream {
  Epoch Epoch_;
  StreamContent Content_;
  TimePoint Deadline_{};
  Tokens Tokens_;
  StreamPhase Phase_ = StreamPhase::Running;

  std::uint32_t count() const {
    return static_cast<std::uint32_t>(Tokens_.size());
  }
  /// Whether the tokens that the caller already has, as described by From_ and
  /// Digest_, are a prefix of this stream's tokens.
  bool isConsistentWith(StreamRequested const &Request) const;
  /// Appends the tokens not known yet; false if there is a gap before From.
  bool append(std::uint32_t From, Tokens const &More);
  /// The content, with the time that remains until the deadline.
  StreamContent contentAt(TimePoint Now) const;
  /// The part that starts at token From and holds at most MaxTokens tokens.
  StreamCheckpoint part(StreamName const &Name, EntryInstance const &Owner,
                        std::uint32_t From, std::size_t MaxTokens,
                        TimePoint Now) const;
};

} // namespace laburnum::streams
