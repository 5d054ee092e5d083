#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr char Prompt[] = "essay";
constexpr std::uint32_t Tokens = 200; ///< 0.6 s of work.
constexpr std::size_t Instance = 0;
/// Longer than the delivery of the notice, shorter than the rest of a stream.
constexpr Duration Notice = std::chrono::milliseconds(150);

std::vector<Mutant> const StreamMutants = {
    Mutant::IgnoreOffsets, Mutant::IgnoreAttempts, Mutant::NoRecovery};

/// The stream's server terminates at the step, together with the faults.
Column lostAt(std::string const &Name, Step At) {
  auto const Start = [At](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().setEngineFaults({.IgnoresResumeOffset_ = true});
    Simulation.atStep(
        At, Prompt, [&Simulation, InjectFaults](StepLocation const &Location) {
          Simulation.terminateServer(*Location.Server_);
          InjectFaults(Location);
        });
    Simulation.stream(Prompt, Tokens, Instance);
  };
  return {Guarantee::StreamsSurvive, Name, UnknownOutcome::Never, StreamMutants,
          Start};
}

Column reclaimedInMidStream() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().setEngineFaults({.IgnoresResumeOffset_ = true});
    Simulation.atStep(
        Step::MidStream, Prompt,
        [&Simulation, InjectFaults](StepLocation const &Location) {
          Simulation.reclaim(*Location.Server_, Notice);
          InjectFaults(Location);
        });
    Simulation.stream(Prompt, Tokens, Instance);
  };
  return {Guarantee::StreamsSurvive, "mid-stream", UnknownOutcome::Never,
          StreamMutants, Start};
}

/// The server that the stream moves to terminates while the attempt at it
/// starts.
Column secondMove() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().setEngineFaults({.IgnoresResumeOffset_ = true});
    Simulation.atStep(
        Step::MidStream, Prompt,
        [&Simulation, InjectFaults](StepLocation const &Location) {
          Simulation.reclaim(*Location.Server_, Notice);
          Simulation.atStep(
              Step::SecondAttempt, Prompt,
              [&Simulation, InjectFaults](StepLocation const &Next) {
                Simulation.terminateServer(*Next.Server_);
                InjectFaults(Next);
              });
        });
    Simulation.stream(Prompt, Tokens, Instance);
  };
  return {Guarantee::StreamsSurvive, "second-move", UnknownOutcome::Never,
          StreamMutants, Start};
}

Column misbehaving(std::string const &Name, EngineFaults const &Faults, Step At,
                   std::vector<Mutant> Mutants) {
  auto const Start = [=](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().setEngineFaults(Faults);
    Simulation.atStep(Step::MidStream, Prompt,
                      [=, &Simulation](StepLocation const &Location) {
                        Simulation.reclaim(*Location.Server_, Notice);
                        if (At == Step::MidStream)
                          return InjectFaults(Location);
                        Simulation.atStep(At, Prompt, InjectFaults);
                      });
    Simulation.stream(Prompt, Tokens, Instance);
  };
  return {Guarantee::CompleteAnswer, Name, UnknownOutcome::Never,
          std::move(Mutants), Start};
}

/// The piece is missing without a move of the stream, so that the gap alone
/// must be detected.
Column skippedPiece() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().setEngineFaults({.TokensToSkip_ = 2});
    Simulation.atStep(Step::FirstTokenDue, Prompt, InjectFaults);
    Simulation.stream(Prompt, Tokens, Instance);
  };
  return {Guarantee::CompleteAnswer,
          "hole",
          UnknownOutcome::Never,
          {Mutant::IgnoreOffsets},
          Start};
}

} // namespace

std::vector<Column> streamColumns() {
  return {
      lostAt("before-first-token", Step::FirstTokenDue),
      reclaimedInMidStream(),
      lostAt("last-token", Step::LastToken),
      secondMove(),
      misbehaving("late-piece",
                  {.ContinuesAfterCancel_ = true, .IgnoresResumeOffset_ = true},
                  Step::MidStream,
                  {Mutant::IgnoreAttempts, Mutant::IgnoreOffsets}),
      misbehaving("duplicate-piece", {.DuplicatesPieces_ = true},
                  Step::MidStream, {Mutant::IgnoreOffsets}),
      skippedPiece(),
      misbehaving("older-attempt",
                  {.ContinuesAfterCancel_ = true, .IgnoresResumeOffset_ = true},
                  Step::SecondAttempt,
                  {Mutant::IgnoreAttempts, Mutant::IgnoreOffsets})};
}

} // namespace laburnum::faults
