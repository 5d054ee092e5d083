#pragma once

#include <LibServing/FailureAnswer.h>

/// What callers of streams are told when a stream cannot be given to them.
namespace laburnum::streams::detail {

FailureAnswer keyReused();
/// The caller has tokens of a stream that no reachable instance knows.
FailureAnswer streamUnknown();
/// The caller has more tokens than any reachable instance knows.
FailureAnswer offsetUnknown();

/// Instances that may know the stream do not answer.
FailureAnswer ownerSilent();
/// A stream without a key of the caller's cannot have been begun before.
FailureAnswer keyMissing();

/// A newer connection took the stream over while this one could not be reached.
FailureAnswer superseded();

} // namespace laburnum::streams::detail
