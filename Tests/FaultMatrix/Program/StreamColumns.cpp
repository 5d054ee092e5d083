#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr char Prompt[] = "essay";
constexpr std::uint32_t Tokens = 200; ///< 0.6 s of work.
constexpr std::size_t Instance = 0;
/// Longer than it takes to see the notice, shorter than the rest of a stream.
constexpr Duration Notice = std::chrono::milliseconds(150);

std::vector<Mutant> const StreamMutants = {
    Mutant::IgnoreOffsets, Mutant::IgnoreAttempts, Mutant::NoRecovery};

/// The stream's server is lost at the step, together with the faults.
Column lostAt(std::string const &Name, Step At) {
  auto const Start = [At](World &In, Inject const &Now) {
    In.backends().setHabits({.StartsFromZero_ = true});
    In.atStep(At, Prompt, [&In, Now](Place const &Where) {
      In.lose(*Where.Server_);
      Now(Where);
    });
    In.stream(Prompt, Tokens, Instance);
  };
  return {Promise::StreamsSurvive, Name, Doubt::Never, StreamMutants, Start};
}

Column reclaimedInMidStream() {
  auto const Start = [](World &In, Inject const &Now) {
    In.backends().setHabits({.StartsFromZero_ = true});
    In.atStep(Step::MidStream, Prompt, [&In, Now](Place const &Where) {
      In.reclaim(*Where.Server_, Notice);
      Now(Where);
    });
    In.stream(Prompt, Tokens, Instance);
  };
  return {Promise::StreamsSurvive, "mid-stream", Doubt::Never, StreamMutants,
          Start};
}

/// The server that the stream moves to is lost while it is being asked.
Column secondMove() {
  auto const Start = [](World &In, Inject const &Now) {
    In.backends().setHabits({.StartsFromZero_ = true});
    In.atStep(Step::MidStream, Prompt, [&In, Now](Place const &Where) {
      In.reclaim(*Where.Server_, Notice);
      In.atStep(Step::SecondAttempt, Prompt, [&In, Now](Place const &Next) {
        In.lose(*Next.Server_);
        Now(Next);
      });
    });
    In.stream(Prompt, Tokens, Instance);
  };
  return {Promise::StreamsSurvive, "second-move", Doubt::Never, StreamMutants,
          Start};
}

Column misbehaving(std::string const &Name, EngineHabits const &Habits, Step At,
                   std::vector<Mutant> Mutants) {
  auto const Start = [=](World &In, Inject const &Now) {
    In.backends().setHabits(Habits);
    In.atStep(Step::MidStream, Prompt, [=, &In](Place const &Where) {
      In.reclaim(*Where.Server_, Notice);
      if (At == Step::MidStream)
        return Now(Where);
      In.atStep(At, Prompt, Now);
    });
    In.stream(Prompt, Tokens, Instance);
  };
  return {Promise::OwnWholeAnswer, Name, Doubt::Never, std::move(Mutants),
          Start};
}

/// The piece is missing before the move, so that it shows by itself.
Column hole() {
  auto const Start = [](World &In, Inject const &Now) {
    In.backends().setHabits({.Skips_ = 2});
    In.atStep(Step::FirstTokenDue, Prompt, Now);
    In.stream(Prompt, Tokens, Instance);
  };
  return {Promise::OwnWholeAnswer,
          "hole",
          Doubt::Never,
          {Mutant::IgnoreOffsets},
          Start};
}

} // namespace

std::vector<Column> streamColumns() {
  return {lostAt("before-first-token", Step::FirstTokenDue),
          reclaimedInMidStream(),
          lostAt("last-token", Step::LastToken),
          secondMove(),
          misbehaving("late-piece",
                      {.GoesOnAfterCancel_ = true, .StartsFromZero_ = true},
                      Step::MidStream,
                      {Mutant::IgnoreAttempts, Mutant::IgnoreOffsets}),
          misbehaving("duplicate-piece", {.SendsTwice_ = true}, Step::MidStream,
                      {Mutant::IgnoreOffsets}),
          hole(),
          misbehaving("older-attempt",
                      {.GoesOnAfterCancel_ = true, .StartsFromZero_ = true},
                      Step::SecondAttempt,
                      {Mutant::IgnoreAttempts, Mutant::IgnoreOffsets})};
}

} // namespace laburnum::faults
