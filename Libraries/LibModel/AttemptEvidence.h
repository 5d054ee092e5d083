#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// How far an attempt at a backend server got before it ended. The values are
/// ordered: each stage includes the previous ones.
enum class AttemptProgress {
  NotConnected, ///< The connection was refused or could not be made.
  Connected,    ///< Connected, but no byte of the request was sent.
  RequestSent,  ///< Some byte of the request may have reached the server.
  AnswerBegun,  ///< The status line of an answer was received.
  AnswerWhole,  ///< The complete answer was received.
};

/// Why an attempt ended.
enum class AttemptEnd {
  Answered,         ///< The server completed its answer.
  ConnectionFailed, ///< Refused, reset or closed early.
  TimedOut,         ///< The attempt's timeout expired.
  Cancelled,        ///< This system cancelled the attempt.
  Refused,          ///< The server reported a rejection before any work.
};

/// What is known about one attempt: the only input to the decision whether the
/// request ran.
struct AttemptEvidence {
  AttemptProgress Progress_ = AttemptProgress::NotConnected;
  AttemptEnd End_ = AttemptEnd::ConnectionFailed;
  std::int32_t Status_ = 0; ///< HTTP status, once an answer has begun.
  std::string Detail_;      ///< Used for logging only.

  auto operator<=>(AttemptEvidence const &) const = default;
};

} // namespace laburnum
