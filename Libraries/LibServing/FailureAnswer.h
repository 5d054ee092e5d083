#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/RunState.h>

#include <optional>
#include <string>

namespace laburnum {

/// The failure of a request, sent to the caller as one JSON answer.
struct FailureAnswer {
  Error Error_;
  RunState RunState_ = RunState::NotRun;
  /// Time to wait before a retry, if a retry can succeed.
  std::optional<Duration> RetryAfter_;

  auto operator<=>(FailureAnswer const &) const = default;
};

/// Returns the HTTP status of a failure's kind.
int httpStatusOf(ErrorKind Kind);

/// Encodes as {"error":{"kind","message","remedy","run_state","request_id",
/// "retry_after_ms"}}; retry_after_ms only if RetryAfter_ is set.
std::string toJson(FailureAnswer const &Failure, RequestId const &Request);

} // namespace laburnum
