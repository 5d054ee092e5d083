#pragma once

#include <LibServing/FailureAnswer.h>

#include <string>

/// Builders of the failure answers that a request flow sends to its caller.
namespace laburnum::detail {

FailureAnswer outcomeUnknown(std::string const &Message);
FailureAnswer claimPending();
FailureAnswer claimKeyReused();
FailureAnswer claimUnavailable(Duration RetryAfter);
FailureAnswer deadlineExceeded(RunState State);
FailureAnswer callerDisconnected(RunState State);
FailureAnswer retriesExhausted(RunState State);
FailureAnswer engineRefusedRequest(std::int32_t Status);
/// No server can be chosen; RetryAfter_ is set if a later retry can succeed.
FailureAnswer noServer(Error const &Reason, RunState State);

} // namespace laburnum::detail
