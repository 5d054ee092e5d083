#pragma once

#include <LibFleet/Member.h>
#include <LibPeer/StreamMessages.h>

#include <optional>
#include <set>
#include <vector>

namespace laburnum::streams {

/// Determines which instances hold a stream's checkpoint and where to search
/// for it, by rendezvous hashing of the stream's name. All instances with the
/// same view of the members agree.
class CheckpointPlacement {
public:
  explicit CheckpointPlacement(EntryInstance Self) : Self_(std::move(Self)) {}

  void setMembers(std::vector<Member> const &Members);

  /// The instance that receives the owner's checkpoints and hand-overs: the
  /// first live instance in the stream's rendezvous order that is not excluded,
  /// outside this data centre if there is one.
  std::optional<EntryInstance>
  checkpointHolderOf(StreamName const &Name,
                     std::set<InstanceId> const &Excluded) const;

  /// The instances where a search looks first. Whichever instance owns the
  /// stream, its checkpoint is at the first candidate, or at the second if the
  /// first is in the owner's data centre. A third covers the failure of one of
  /// them.
  std::vector<EntryInstance> candidates(StreamName const &Name) const;

  /// All other live instances, in the stream's rendezvous order.
  std::vector<EntryInstance> others(StreamName const &Name) const;

  /// Whether the instance may still answer: it is live or leaving.
  bool mayAnswer(InstanceId const &Id) const;
  bool isLive(InstanceId const &Id) const;

private:
  EntryInstance const Self_;
  std::vector<EntryInstance> Live_; ///< Without this instance.
  std::set<InstanceId> Leaving_;
};

} // namespace laburnum::streams
