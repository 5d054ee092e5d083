#pragma once

#include <LibBackend/BackendClient.h>
#include <LibModel/RunState.h>

#include <compare>
#include <variant>

namespace laburnum {

/// The claim is known to be stored: the call may be dispatched once.
struct ClaimGranted {
  auto operator<=>(ClaimGranted const &) const = default;
};
/// The same request ran before, with this answer.
struct ClaimAnswered {
  PlainAnswer Answer_;
  auto operator<=>(ClaimAnswered const &) const = default;
};
/// The same request was claimed before and its outcome is not recorded: it is
/// running or may have run, and must not run again.
struct ClaimPending {
  auto operator<=>(ClaimPending const &) const = default;
};
/// The key was used for a request with other content.
struct ClaimKeyReused {
  auto operator<=>(ClaimKeyReused const &) const = default;
};
/// The claim could not be stored and is known not to be in force.
struct ClaimUnavailable {
  Duration RetryAfter_{};
  auto operator<=>(ClaimUnavailable const &) const = default;
};

using ClaimVerdict = std::variant<ClaimGranted, ClaimAnswered, ClaimPending,
                                  ClaimKeyReused, ClaimUnavailable>;

/// The outcome of a claimed call.
struct ClaimOutcome {
  RunState RunState_ = RunState::MayHaveRun;
  PlainAnswer Answer_; ///< Stored if small; used when RunState_ is Ran.

  auto operator<=>(ClaimOutcome const &) const = default;
};

} // namespace laburnum
