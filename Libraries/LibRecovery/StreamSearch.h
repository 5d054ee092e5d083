#pragma once

#include <LibRecovery/CheckpointShelf.h>
#include <LibRecovery/StreamPlaces.h>

#include <map>
#include <optional>
#include <set>

namespace laburnum::streams {

/// The search for a stream, or its checkpoint, on behalf of one caller.
class StreamSearch {
public:
  /// No instance that answers knows the stream.
  struct NotFound {};
  /// The checkpoint that is kept here is the best that there is.
  struct TakeOwnCheckpoint {};
  /// All that is left has fewer tokens than the caller.
  struct TokensLost {};
  /// Whoever may know more did not answer in time.
  struct NoAnswer {};
  using Verdict =
      std::variant<NotFound, TakeOwnCheckpoint, TokensLost, NoAnswer>;

  StreamSearch(Settings const &Given, StreamWanted Wanted)
      : Settings_(Given), Wanted_(std::move(Wanted)) {}

  StreamWanted const &wanted() const { return Wanted_; }

  /// Asks the instances that may know it. Own is the checkpoint kept here,
  /// Owner an instance that is said to own it.
  std::optional<Verdict> start(StreamPlaces const &Places,
                               Checkpoint const *Own,
                               std::optional<EntryInstance> const &Owner,
                               TimePoint Now, Actions &Out);
  std::optional<Verdict> answered(InstanceId const &From,
                                  StreamState const &Told,
                                  StreamPlaces const &Places, TimePoint Now,
                                  Actions &Out);
  std::optional<Verdict> passTime(StreamPlaces const &Places, TimePoint Now,
                                  Actions &Out);

private:
  /// The best checkpoint heard of.
  struct Holder {
    EntryInstance Instance_;
    Epoch Epoch_;
    std::uint32_t Count_ = 0;
  };
  enum class Step { Finding, Widened, Adopting };

  void ask(EntryInstance const &Whom, StreamQueryMode How, TimePoint Now,
           Actions &Out);
  void learn(Holder Told);
  void follow(EntryInstance const &Owner, StreamPlaces const &Places,
              TimePoint Now, Actions &Out);
  std::optional<Verdict> decideIfDone(StreamPlaces const &Places, TimePoint Now,
                                      Actions &Out);
  std::optional<Verdict> decide(StreamPlaces const &Places, TimePoint Now,
                                Actions &Out);

  std::optional<Verdict> adopt(TimePoint Now, Actions &Out);

  Settings const Settings_;
  StreamWanted const Wanted_;
  Step Step_ = Step::Finding;
  TimePoint StepEnds_{};
  std::map<InstanceId, EntryInstance> Asked_;
  std::set<InstanceId> Waiting_;
  /// Owners that a hand-over has not reached yet.
  std::map<InstanceId, EntryInstance> AskAgain_;
  std::optional<Holder> Best_;
  bool IsSomeoneSilent_ = false; ///< Of those that are not known to be gone.
};

} // namespace laburnum::streams
