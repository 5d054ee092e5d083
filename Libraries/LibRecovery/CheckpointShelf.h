#pragma once

#include <LibRecovery/KeptStream.h>

#include <map>
#include <optional>

namespace laburnum::streams {

/// A peer's stream, kept in case its owner dies.
struct Checkpoint {
  KeptStream Stream_;
  EntryInstance Owner_;
  TimePoint Renewed_{};
};

/// The checkpoints of peers' streams.
class CheckpointShelf {
public:
  enum class Placed {
    Kept,       ///< Up to the checkpoint's new count of tokens.
    Incomplete, ///< Tokens or content before From_ are missing.
    Superseded, ///< A newer epoch is kept.
  };

  /// Adds a part of a stream to what is kept.
  Placed place(StreamCheckpoint const &Part, TimePoint Now);
  /// Keeps a whole checkpoint unless a newer epoch is kept.
  void keep(StreamName const &Name, Checkpoint Kept);
  /// How many tokens of this very epoch are kept.
  std::uint32_t count(StreamCheckpoint const &Part, TimePoint Now) const;

  Checkpoint *find(StreamName const &Name);
  void erase(StreamName const &Name) { Kept_.erase(Name); }

  /// Drops what was not renewed for Retention, and then the longest unrenewed
  /// until at most MostTokens are kept.
  void expire(Duration Retention, std::size_t MostTokens, TimePoint Now);
  std::size_t size() const { return Kept_.size(); }

private:
  /// Whether From_ tokens of what is kept are also the part's.
  static bool continues(StreamCheckpoint const &Part, Checkpoint const &Held,
                        TimePoint Now);
  std::size_t tokens() const;

  std::map<StreamName, Checkpoint> Kept_;
};

} // namespace laburnum::streams
