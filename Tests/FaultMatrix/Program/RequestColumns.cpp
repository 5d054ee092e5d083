#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr char Key[] = "order";
constexpr std::size_t First = 0;
/// An instance in the other data centre.
constexpr std::size_t Second = 4;
constexpr std::size_t Third = 1;
/// Shorter than the execution of a call.
constexpr Duration ShortTimeout = std::chrono::milliseconds(5);

/// A non-idempotent call; when the step is reached, its caller also submits it
/// through two other instances.
Column claimStep(std::string const &Name, Step At) {
  auto const Start = [At](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(
        At, Key, [&Simulation, InjectFaults](StepLocation const &Location) {
          InjectFaults(Location);
          Simulation.resubmit(0, Second);
          Simulation.resubmit(0, Third);
        });
    Simulation.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Guarantee::AtMostOnce,
          Name,
          UnknownOutcome::Never,
          {Mutant::DispatchBeforeVerdict, Mutant::LostAnswerIsRefusal,
           Mutant::BlindWrites},
          Start};
}

/// The fault affects the second instance while the first runs the call.
Column resubmitted() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(
        Step::Running, Key, [&Simulation, InjectFaults](StepLocation const &) {
          Simulation.atStep(
              Step::ClaimRequested, Key,
              [&Simulation, InjectFaults](StepLocation const &Location) {
                InjectFaults(Location);
                Simulation.resubmit(0, Third);
              });
          Simulation.resubmit(0, Second);
        });
    Simulation.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Guarantee::AtMostOnce,
          "sent-again",
          UnknownOutcome::Never,
          {Mutant::DispatchBeforeVerdict, Mutant::LostAnswerIsRefusal},
          Start};
}

Column brokenConnection(std::string const &Name, Step At,
                        AttemptProgress BreaksAt, UnknownOutcome MaxOutcome) {
  auto const Start = [=](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().breakOnce(Key, BreaksAt);
    Simulation.atStep(At, Key, InjectFaults);
    Simulation.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Guarantee::NotRunIsTrue,
          Name,
          MaxOutcome,
          {Mutant::UnderstatedEvidence, Mutant::SayNotRun},
          Start};
}

Column refused() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.backends().refuseOnce(Key);
    Simulation.atStep(Step::RequestSent, Key, InjectFaults);
    Simulation.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Guarantee::NotRunIsTrue,
          "refused",
          UnknownOutcome::Never,
          {Mutant::RefuseAfterWork, Mutant::UnderstatedEvidence},
          Start};
}

/// A stream in progress keeps the stopping instance running while the call is
/// refused.
Column refusedWhileStopping() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.stream("essay", 200, First);
    Simulation.after(std::chrono::milliseconds(50),
                     [&Simulation] { Simulation.stopInstance(First); });
    Simulation.atStep(Step::RefusedWhileStopping, Key, InjectFaults);
    Simulation.after(std::chrono::milliseconds(60), [&Simulation] {
      Simulation.call(Key, Idempotence::NonIdempotent, First);
    });
  };
  return {Guarantee::NotRunIsTrue,
          "drain",
          UnknownOutcome::Never,
          {Mutant::DispatchWhileStopping},
          Start};
}

Column deadline() {
  auto const Start = [](World &Simulation, Inject const &InjectFaults) {
    Simulation.atStep(Step::Running, Key, InjectFaults);
    Simulation.call(Key, Idempotence::NonIdempotent, First, ShortTimeout);
  };
  return {Guarantee::NotRunIsTrue,
          "deadline",
          UnknownOutcome::Allowed,
          {Mutant::SayNotRun, Mutant::UnderstatedEvidence},
          Start};
}

} // namespace

std::vector<Column> requestColumns() {
  return {
      claimStep("claim-requested", Step::ClaimRequested),
      claimStep("claim-write", Step::ClaimWriteSent),
      claimStep("granted", Step::ClaimGranted),
      claimStep("dispatched", Step::Running),
      claimStep("answered", Step::Answered),
      claimStep("outcome-write", Step::OutcomeWriteSent),
      resubmitted(),
      brokenConnection("connect", Step::Connecting,
                       AttemptProgress::NotConnected, UnknownOutcome::Never),
      brokenConnection("request-sent", Step::RequestSent,
                       AttemptProgress::RequestSent, UnknownOutcome::Allowed),
      brokenConnection("answer-begun", Step::AnswerBegun,
                       AttemptProgress::AnswerBegun, UnknownOutcome::Allowed),
      refused(),
      refusedWhileStopping(),
      deadline()};
}

} // namespace laburnum::faults
