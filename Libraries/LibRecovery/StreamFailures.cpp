#include <LibRecovery/StreamFailures.h>

namespace laburnum::streams::detail {

FailureAnswer keyReused() {
  return {{ErrorKind::InvalidArgument,
           "the idempotency key was used for a request with other content",
           "send this request with a key of its own"},
          RunState::NotRun,
          std::nullopt};
}

FailureAnswer streamUnknown() {
  return {{ErrorKind::OutcomeUnknown,
           "no instance that can be reached knows the stream of this key",
           "drop the tokens that arrived and start anew under a new key"},
          RunState::MayHaveRun,
          std::nullopt};
}

FailureAnswer offsetUnknown() {
  return {{ErrorKind::OutcomeUnknown,
           "the tokens before the offset to resume from were lost",
           "drop the tokens that arrived and start anew under a new key"},
          RunState::MayHaveRun,
          std::nullopt};
}

FailureAnswer ownerSilent() {
  constexpr Duration RetryAfter = std::chrono::seconds(1);
  return {{ErrorKind::Unavailable,
           "instances that may know the stream do not answer",
           "send the request again with the same key"},
          RunState::MayHaveRun,
          RetryAfter};
}

FailureAnswer keyMissing() {
  return {{ErrorKind::InvalidArgument,
           "an offset to resume from needs the stream's key",
           "send the stream's Idempotency-Key, or the Laburnum-Request-Id of "
           "its first answer, as Idempotency-Key"},
          RunState::NotRun,
          std::nullopt};
}

FailureAnswer superseded() {
  return {{ErrorKind::Conflict,
           "a newer connection took this stream over at another instance",
           "use the newer connection's tokens, or start anew under a new key"},
          RunState::MayHaveRun,
          std::nullopt};
}

} // namespace laburnum::streams::detail
