#pragma once

#include <LibRecovery/CheckpointPlacement.h>
#include <LibRecovery/CheckpointStore.h>

#include <map>
#include <optional>
#include <set>

namespace laburnum::streams {

/// The search among peers for a stream or its checkpoint, on behalf of one
/// caller. It queries the candidates first, then, for a caller that already has
/// tokens, further instances, and finally adopts the best checkpoint found.
class StreamSearch {
public:
  /// No instance that answers knows the stream.
  struct NotFound {};
  /// The local checkpoint is the best one found.
  struct UseLocalCheckpoint {};
  /// The best checkpoint found has fewer tokens than the caller.
  struct TokensLost {};
  /// An instance that may know more did not answer in time.
  struct NoAnswer {};
  using Outcome =
      std::variant<NotFound, UseLocalCheckpoint, TokensLost, NoAnswer>;

  StreamSearch(Settings const &Given, StreamRequested Request)
      : Settings_(Given), Request_(std::move(Request)) {}

  StreamRequested const &request() const { return Request_; }

  /// Queries the instances that may know the stream. Local is this instance's
  /// checkpoint or nullptr, Owner the presumed owner, if there is one.
  std::optional<Outcome> start(CheckpointPlacement const &Placement,
                               Checkpoint const *Local,
                               std::optional<EntryInstance> const &Owner,
                               TimePoint Now, Actions &Out);
  std::optional<Outcome> onAnswer(InstanceId const &From,
                                  StreamState const &State,
                                  CheckpointPlacement const &Placement,
                                  TimePoint Now, Actions &Out);
  std::optional<Outcome> onTimePassed(CheckpointPlacement const &Placement,
                                      TimePoint Now, Actions &Out);

private:
  /// A checkpoint reported to the search, and the instance that holds it.
  struct HeldCheckpoint {
    EntryInstance Instance_;
    Epoch Epoch_;
    std::uint32_t Count_ = 0;
  };
  enum class Step { Finding, Widened, Adopting };

  void sendQuery(EntryInstance const &Peer, StreamQueryMode How, TimePoint Now,
                 Actions &Out);
  void considerCheckpoint(HeldCheckpoint State);
  void queryOwner(EntryInstance const &Owner,
                  CheckpointPlacement const &Placement, TimePoint Now,
                  Actions &Out);
  std::optional<Outcome> decideIfDone(CheckpointPlacement const &Placement,
                                      TimePoint Now, Actions &Out);
  std::optional<Outcome> decide(CheckpointPlacement const &Placement,
                                TimePoint Now, Actions &Out);

  std::optional<Outcome> adopt(TimePoint Now, Actions &Out);

  Settings const Settings_;
  StreamRequested const Request_;
  Step Step_ = Step::Finding;
  TimePoint StepEnds_{};
  std::map<InstanceId, EntryInstance> Asked_;
  std::set<InstanceId> Waiting_;
  /// Presumed owners that answered before the hand-over to them arrived; they
  /// are queried again.
  std::map<InstanceId, EntryInstance> QueryAgain_;
  std::optional<HeldCheckpoint> Best_;
  /// An instance that is not known to be gone did not answer in time.
  bool IsAnswerMissing_ = false;
};

} // namespace laburnum::streams
