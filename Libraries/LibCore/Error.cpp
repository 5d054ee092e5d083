#include <LibCore/Error.h>

namespace laburnum {

std::string toString(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidArgument:
    return "invalid_argument";
  case ErrorKind::Unauthenticated:
    return "unauthenticated";
  case ErrorKind::PermissionDenied:
    return "permission_denied";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::ResourceExhausted:
    return "resource_exhausted";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::OutcomeUnknown:
    return "outcome_unknown";
  case ErrorKind::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

std::string toString(Error const &Failure) {
  return toString(Failure.Kind_) + ": " + Failure.Message_ + "; " +
         Failure.Remedy_;
}

} // namespace laburnum
