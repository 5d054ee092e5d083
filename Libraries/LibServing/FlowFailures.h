#pragma once

#include <LibServing/FailureAnswer.h>

#include <string>

/// The failures that a request flow tells its caller, worded in one place.
namespace laburnum::detail {

FailureAnswer outcomeUnknown(std::string const &Message);
FailureAnswer claimPending();
FailureAnswer claimKeyReused();
FailureAnswer claimUnavailable(Duration RetryAfter);
FailureAnswer deadlineExceeded(RunState State);
FailureAnswer callerGone(RunState State);
FailureAnswer retriesUsedUp(RunState State);
FailureAnswer engineRefusedRequest(std::int32_t Status);
/// Nothing can be chosen; RetryAfter_ is given where waiting can help.
FailureAnswer noServer(Error const &Reason, RunState State);

} // namespace laburnum::detail
