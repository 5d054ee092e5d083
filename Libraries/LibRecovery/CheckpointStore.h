#pragma once

#include <LibRecovery/RetainedStream.h>

#include <map>
#include <optional>

namespace laburnum::streams {

/// A copy of a peer's stream, from which the stream is resumed if its owner
/// fails.
struct Checkpoint {
  RetainedStream Stream_;
  EntryInstance Owner_;
  TimePoint Renewed_{};
};

/// The checkpoints of peers' streams that this instance holds, in memory.
class CheckpointStore {
public:
  enum class StoreResult {
    Kept,       ///< The part was stored; count() is the new token count.
    Incomplete, ///< Tokens or content before From_ are missing.
    Superseded, ///< A checkpoint of a newer epoch is stored.
  };

  /// Appends a part of a stream to its checkpoint, or begins a checkpoint if
  /// the part starts at token 0.
  StoreResult store(StreamCheckpoint const &Part, TimePoint Now);
  /// Stores a complete checkpoint unless one of a newer epoch is stored.
  void keep(StreamName const &Name, Checkpoint Kept);
  /// The number of tokens stored of exactly the part's epoch, otherwise 0.
  std::uint32_t count(StreamCheckpoint const &Part, TimePoint Now) const;

  Checkpoint *find(StreamName const &Name);
  void erase(StreamName const &Name) { Checkpoints_.erase(Name); }

  /// Drops checkpoints that were not renewed for Retention, then the least
  /// recently renewed ones until at most MaxTokens tokens are stored.
  void expire(Duration Retention, std::size_t MaxTokens, TimePoint Now);
  std::size_t size() const { return Checkpoints_.size(); }

private:
  /// Whether the first From_ tokens of Held are those that precede the part.
  static bool continues(StreamCheckpoint const &Part, Checkpoint const &Held,
                        TimePoint Now);
  std::size_t tokens() const;

  std::map<StreamName, Checkpoint> Checkpoints_;
};

} // namespace laburnum::streams
