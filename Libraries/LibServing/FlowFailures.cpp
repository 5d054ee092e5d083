#include <LibServing/FlowFailures.h>

namespace laburnum::detail {

namespace {

constexpr Duration RetryAfterPending = std::chrono::seconds(1);
constexpr Duration RetryAfterNoServer = std::chrono::seconds(1);
constexpr Duration RetryAfterBudget = std::chrono::seconds(1);

} // namespace

FailureAnswer outcomeUnknown(std::string const &Message) {
  return {{ErrorKind::OutcomeUnknown, Message,
           "ask the service whether the call took effect; it will not be run "
           "again under this key"},
          RunState::MayHaveRun,
          std::nullopt};
}

FailureAnswer claimPending() {
  auto Answer = outcomeUnknown(
      "a call with this key was dispatched before and has no known outcome");
  Answer.RetryAfter_ = RetryAfterPending;
  return Answer;
}

FailureAnswer claimKeyReused() {
  return {{ErrorKind::InvalidArgument,
           "the idempotency key was used for a call with other content",
           "send this call with a key of its own"},
          RunState::NotRun,
          std::nullopt};
}

FailureAnswer claimUnavailable(Duration RetryAfter) {
  return {{ErrorKind::Unavailable,
           "the call cannot be recorded before it is dispatched",
           "send it again with the same key"},
          RunState::NotRun,
          RetryAfter};
}

FailureAnswer deadlineExceeded(RunState State) {
  return {{ErrorKind::DeadlineExceeded,
           "the request's deadline passed before its answer was whole",
           "send it again with the same key and a later deadline"},
          State,
          std::nullopt};
}

FailureAnswer callerDisconnected(RunState State) {
  return {{ErrorKind::DeadlineExceeded, "the caller closed its connection",
           "send the request again with the same key"},
          State,
          std::nullopt};
}

FailureAnswer retriesExhausted(RunState State) {
  return {{ErrorKind::Unavailable,
           "an attempt failed and the service's retry budget is used up or "
           "the deadline is too near",
           "send the request again later"},
          State,
          RetryAfterBudget};
}

FailureAnswer engineRefusedRequest(std::int32_t Status) {
  return {
      {ErrorKind::InvalidArgument,
       "the engine refused the request with status " + std::to_string(Status),
       "correct the request"},
      RunState::NotRun,
      std::nullopt};
}

FailureAnswer noServer(Error const &Reason, RunState State) {
  FailureAnswer Answer{Reason, State, std::nullopt};
  if (Reason.Kind_ == ErrorKind::Unavailable ||
      Reason.Kind_ == ErrorKind::ResourceExhausted)
    Answer.RetryAfter_ = RetryAfterNoServer;
  return Answer;
}

} // namespace laburnum::detail
