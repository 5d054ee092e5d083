#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <optional>
#include <string>

namespace laburnum::faults {

/// The moments of the flows at which a fault can be made to fall.
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
  NewsSent,
  WatchAnswered,
  OperatorWriteSent,
  Scheduled, ///< At a time that the test chooses.
};

/// Where a step happened.
struct Place {
  std::size_t Instance_ = 0;
  std::optional<ServerId> Server_;
  std::string Key_; ///< Of the call, when servers see the step.

  auto operator<=>(Place const &) const = default;
};

} // namespace laburnum::faults
