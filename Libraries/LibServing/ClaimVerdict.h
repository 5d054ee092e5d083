#pragma once

#include <LibBackend/BackendClient.h>
#include <LibModel/RunState.h>

#include <compare>
#include <variant>

namespace laburnum {

/// The claim is known to be in the platform: the call may be dispatched, once.
struct ClaimGranted {
  auto operator<=>(ClaimGranted const &) const = default;
};
/// The same request ran before; this was its answer.
struct ClaimAnswered {
  PlainAnswer Answer_;
  auto operator<=>(ClaimAnswered const &) const = default;
};
/// The same request was claimed before and its outcome is not recorded: it
/// runs, or it may have run, and must not run again.
struct ClaimPending {
  auto operator<=>(ClaimPending const &) const = default;
};
/// The key was used for a request with other content.
struct ClaimKeyReused {
  auto operator<=>(ClaimKeyReused const &) const = default;
};
/// The claim could not be made and is certainly not in force for this request.
struct ClaimUnavailable {
  Duration RetryAfter_{};
  auto operator<=>(ClaimUnavailable const &) const = default;
};

using ClaimVerdict = std::variant<ClaimGranted, ClaimAnswered, ClaimPending,
                                  ClaimKeyReused, ClaimUnavailable>;

/// What became of a claimed call.
struct ClaimOutcome {
  RunState RunState_ = RunState::MayHaveRun;
  PlainAnswer Answer_; ///< Kept when small; used when RunState_ is Ran.

  auto operator<=>(ClaimOutcome const &) const = default;
};

} // namespace laburnum
