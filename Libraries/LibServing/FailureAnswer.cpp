#include <LibServing/FailureAnswer.h>

#include <nlohmann/json.hpp>

namespace laburnum {

int httpStatusOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidArgument:
    return 400;
  case ErrorKind::Unauthenticated:
    return 401;
  case ErrorKind::PermissionDenied:
    return 403;
  case ErrorKind::NotFound:
    return 404;
  case ErrorKind::Conflict:
    return 409;
  case ErrorKind::ResourceExhausted:
    return 429;
  case ErrorKind::Unavailable:
    return 503;
  case ErrorKind::OutcomeUnknown:
    return 502;
  case ErrorKind::DeadlineExceeded:
    return 504;
  case ErrorKind::Internal:
    return 500;
  }
  return 500;
}

std::string toJson(FailureAnswer const &Failure, RequestId const &Request) {
  nlohmann::json Inner = {{"kind", toString(Failure.Error_.Kind_)},
                          {"message", Failure.Error_.Message_},
                          {"remedy", Failure.Error_.Remedy_},
                          {"run_state", toString(Failure.RunState_)},
                          {"request_id", Request.text()}};
  if (Failure.RetryAfter_)
    Inner["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*Failure.RetryAfter_)
            .count();
  // Text from a caller or a server may not be valid UTF-8.
  return nlohmann::json{{"error", Inner}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace laburnum
