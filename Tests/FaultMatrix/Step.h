#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <optional>
#include <string>

namespace laburnum::faults {

/// The steps of the flows at which a fault can be injected.
enum class Step {
  ClaimRequested,
  ClaimWriteSent,
  ClaimGranted,
  Connecting,
  RequestSent,
  Running,
  AnswerBegun,
  Answered,
  OutcomeWriteSent,
  RefusedWhileStopping,
  FirstTokenDue,
  MidStream,
  LastToken,
  SecondAttempt,
  UpdateSent,
  WatchAnswered,
  OperatorWriteSent,
  Scheduled, ///< At a time chosen by the test.
};

/// The location of a step.
struct StepLocation {
  std::size_t Instance_ = 0;
  std::optional<ServerId> Server_;
  std::string Key_; ///< Of the call, if the step happens at a server.

  auto operator<=>(StepLocation const &) const = default;
};

} // namespace laburnum::faults
