#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// How far an attempt at a backend server got before it ended. Ordered: each
/// stage includes the ones before it.
enum class AttemptProgress {
  NotConnected, ///< The connection was refused or could not be made.
  Connected,    ///< Connected, but no byte of the request was handed over.
  RequestSent,  ///< Some byte of the request may have reached the server.
  AnswerBegun,  ///< The status line of an answer came back.
  AnswerWhole,  ///< The whole answer came back.
};

/// Why an attempt ended.
enum class AttemptEnd {
  Answered,         ///< The server finished its answer.
  ConnectionFailed, ///< Refused, reset or closed early.
  TimedOut,         ///< The attempt's own time was over.
  Cancelled,        ///< This system gave the attempt up.
  Refused,          ///< The server said that it refused before any work.
};

/// What one attempt sent and saw: all that the verdict on whether the request
/// ran may rest on.
struct AttemptEvidence {
  AttemptProgress Progress_ = AttemptProgress::NotConnected;
  AttemptEnd End_ = AttemptEnd::ConnectionFailed;
  std::int32_t Status_ = 0; ///< HTTP status when an answer has begun.
  std::string Detail_;      ///< For the log only.

  auto operator<=>(AttemptEvidence const &) const = default;
};

} // namespace laburnum
