#pragma once

#include <compare>
#include <string>

namespace laburnum {

/// What went wrong, by what the receiver of the error can do about it.
enum class ErrorKind {
  InvalidArgument,   ///< The input itself is wrong; sending it again fails too.
  Unauthenticated,   ///< No key, or a wrong one.
  PermissionDenied,  ///< The key is right, the action is not allowed.
  NotFound,          ///< The named thing does not exist.
  Conflict,          ///< Another change came first; read again and decide.
  ResourceExhausted, ///< A limit or budget is used up for now.
  Unavailable,       ///< Nothing took effect; trying later can help.
  OutcomeUnknown,    ///< The action may or may not have taken effect.
  DeadlineExceeded,  ///< The time allowed is over.
  Internal,          ///< A fault of this program.
};

/// The kind's name in snake case, as it appears in JSON answers and logs.
std::string toString(ErrorKind Kind);

/// A failure whose text says what happened and what to do about it.
struct Error {
  ErrorKind Kind_ = ErrorKind::Internal;
  std::string Message_; ///< What happened, with the names involved.
  std::string Remedy_;  ///< What the receiver can do next.

  auto operator<=>(Error const &) const = default;
};

/// "kind: message; remedy" on one line.
std::string toString(Error const &Failure);

} // namespace laburnum
