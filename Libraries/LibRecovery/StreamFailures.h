#pragma once

#include <LibServing/FailureAnswer.h>

/// The failure answers for callers whose stream cannot be started or resumed.
namespace laburnum::streams::detail {

/// The idempotency key belongs to a request with other content.
FailureAnswer keyReused();
/// The caller has tokens of a stream that no reachable instance knows.
FailureAnswer streamUnknown();
/// The caller has more tokens than any reachable instance has.
FailureAnswer offsetUnknown();

/// Instances that may know the stream did not answer.
FailureAnswer ownerSilent();
/// A caller without an Idempotency-Key cannot resume a stream.
FailureAnswer keyMissing();

/// Another instance took the stream over for a newer connection while this
/// instance was unreachable.
FailureAnswer superseded();

} // namespace laburnum::streams::detail
