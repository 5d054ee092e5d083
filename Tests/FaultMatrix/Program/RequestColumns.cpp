#include "Column.h"

namespace laburnum::faults {

namespace {

constexpr char Key[] = "order";
constexpr std::size_t First = 0;
/// In the other data centre.
constexpr std::size_t Second = 4;
constexpr std::size_t Third = 1;
/// Shorter than the work of a call.
constexpr Duration ShortPatience = std::chrono::milliseconds(5);

/// A call that must not be repeated; when the step is reached its caller also
/// sends it through two others.
Column claimStep(std::string const &Name, Step At) {
  auto const Start = [At](World &In, Inject const &Now) {
    In.atStep(At, Key, [&In, Now](Place const &Where) {
      Now(Where);
      In.sendAgain(0, Second);
      In.sendAgain(0, Third);
    });
    In.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Promise::AtMostOnce,
          Name,
          Doubt::Never,
          {Mutant::DispatchBeforeVerdict, Mutant::LostAnswerIsRefusal,
           Mutant::BlindWrites},
          Start};
}

/// The fault falls on the second instance while the first runs the call.
Column sentAgain() {
  auto const Start = [](World &In, Inject const &Now) {
    In.atStep(Step::Running, Key, [&In, Now](Place const &) {
      In.atStep(Step::ClaimRequested, Key, [&In, Now](Place const &Where) {
        Now(Where);
        In.sendAgain(0, Third);
      });
      In.sendAgain(0, Second);
    });
    In.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Promise::AtMostOnce,
          "sent-again",
          Doubt::Never,
          {Mutant::DispatchBeforeVerdict, Mutant::LostAnswerIsRefusal},
          Start};
}

Column brokenConnection(std::string const &Name, Step At,
                        AttemptProgress Breaks, Doubt Ends) {
  auto const Start = [=](World &In, Inject const &Now) {
    In.backends().breakOnce(Key, Breaks);
    In.atStep(At, Key, Now);
    In.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Promise::NotRunIsTrue,
          Name,
          Ends,
          {Mutant::UnderstatedEvidence, Mutant::SayNotRun},
          Start};
}

Column refused() {
  auto const Start = [](World &In, Inject const &Now) {
    In.backends().refuseOnce(Key);
    In.atStep(Step::RequestSent, Key, Now);
    In.call(Key, Idempotence::NonIdempotent, First);
  };
  return {Promise::NotRunIsTrue,
          "refused",
          Doubt::Never,
          {Mutant::RefuseAfterWork, Mutant::UnderstatedEvidence},
          Start};
}

/// A stream keeps the stopping instance alive while the call is refused.
Column refusedWhileStopping() {
  auto const Start = [](World &In, Inject const &Now) {
    In.stream("essay", 200, First);
    In.after(std::chrono::milliseconds(50), [&In] { In.stopInstance(First); });
    In.atStep(Step::RefusedWhileStopping, Key, Now);
    In.after(std::chrono::milliseconds(60),
             [&In] { In.call(Key, Idempotence::NonIdempotent, First); });
  };
  return {Promise::NotRunIsTrue,
          "drain",
          Doubt::Never,
          {Mutant::DispatchWhileStopping},
          Start};
}

Column deadline() {
  auto const Start = [](World &In, Inject const &Now) {
    In.atStep(Step::Running, Key, Now);
    In.call(Key, Idempotence::NonIdempotent, First, ShortPatience);
  };
  return {Promise::NotRunIsTrue,
          "deadline",
          Doubt::Allowed,
          {Mutant::SayNotRun, Mutant::UnderstatedEvidence},
          Start};
}

} // namespace

std::vector<Column> requestColumns() {
  return {claimStep("claim-requested", Step::ClaimRequested),
          claimStep("claim-write", Step::ClaimWriteSent),
          claimStep("granted", Step::ClaimGranted),
          claimStep("dispatched", Step::Running),
          claimStep("answered", Step::Answered),
          claimStep("outcome-write", Step::OutcomeWriteSent),
          sentAgain(),
          brokenConnection("connect", Step::Connecting,
                           AttemptProgress::NotConnected, Doubt::Never),
          brokenConnection("request-sent", Step::RequestSent,
                           AttemptProgress::RequestSent, Doubt::Allowed),
          brokenConnection("answer-begun", Step::AnswerBegun,
                           AttemptProgress::AnswerBegun, Doubt::Allowed),
          refused(),
          refusedWhileStopping(),
          deadline()};
}

} // namespace laburnum::faults
