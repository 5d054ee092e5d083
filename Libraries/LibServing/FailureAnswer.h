#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/RunState.h>

#include <optional>
#include <string>

namespace laburnum {

/// The request failed: what the caller is told, as JSON, at once.
struct FailureAnswer {
  Error Error_;
  RunState RunState_ = RunState::NotRun;
  /// When trying again can help, how long to wait first.
  std::optional<Duration> RetryAfter_;

  auto operator<=>(FailureAnswer const &) const = default;
};

/// The HTTP status that goes with a failure's kind.
int httpStatusOf(ErrorKind Kind);

/// {"error":{"kind","message","remedy","run_state","retry_after_ms"}}
std::string toJson(FailureAnswer const &Failure, RequestId const &Request);

} // namespace laburnum
