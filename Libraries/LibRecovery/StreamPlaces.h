#pragma once

#include <LibFleet/Member.h>
#include <LibPeer/StreamMessages.h>

#include <optional>
#include <set>
#include <vector>

namespace laburnum::streams {

/// Which instances keep and look for a stream's checkpoint. All instances that
/// see the same members agree.
class StreamPlaces {
public:
  explicit StreamPlaces(EntryInstance Self) : Self_(std::move(Self)) {}

  void setMembers(std::vector<Member> const &Members);

  /// Who takes the owner's checkpoints and hand-overs: the first live instance
  /// in the key's order outside this data centre, or else inside, that is not
  /// excluded.
  std::optional<EntryInstance>
  keeperOf(StreamName const &Name, std::set<InstanceId> const &Excluded) const;

  /// Whoever owns the stream, its checkpoint is at the first of these, or at
  /// the second if the first is in the owner's data centre. A third is asked
  /// in case that one of them died.
  std::vector<EntryInstance> candidates(StreamName const &Name) const;

  /// All other live instances, in the key's order.
  std::vector<EntryInstance> others(StreamName const &Name) const;

  /// Live or leaving: may still answer.
  bool mayAnswer(InstanceId const &Id) const;
  bool isLive(InstanceId const &Id) const;

private:
  EntryInstance const Self_;
  std::vector<EntryInstance> Live_; ///< Without this instance.
  std::set<InstanceId> Leaving_;
};

} // namespace laburnum::streams
