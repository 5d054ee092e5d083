#pragma once

#include <compare>
#include <string>

namespace laburnum {

/// Error categories, by what the receiver can do about the error.
enum class ErrorKind {
  InvalidArgument,   ///< The input is invalid; a retry fails too.
  Unauthenticated,   ///< The key is missing or wrong.
  PermissionDenied,  ///< The key is valid, but the action is not allowed.
  NotFound,          ///< The named object does not exist.
  Conflict,          ///< Another change came first; read again and decide.
  ResourceExhausted, ///< A limit or budget is currently used up.
  Unavailable,       ///< Nothing took effect; a later retry can succeed.
  OutcomeUnknown,    ///< The action may or may not have taken effect.
  DeadlineExceeded,  ///< The deadline has passed.
  Internal,          ///< A fault of this program.
};

/// Returns the kind's name in snake case, as used in JSON answers and logs.
std::string toString(ErrorKind Kind);

/// A failure with a message and a suggested remedy.
struct Error {
  ErrorKind Kind_ = ErrorKind::Internal;
  std::string Message_; ///< What failed, with the names involved.
  std::string Remedy_;  ///< What the receiver can do about it.

  auto operator<=>(Error const &) const = default;
};

/// Returns "kind: message; remedy" on one line.
std::string toString(Error const &Failure);

} // namespace laburnum
