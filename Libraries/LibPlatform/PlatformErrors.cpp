#include <LibPlatform/PlatformErrors.h>

#include <nlohmann/json.hpp>

namespace laburnum {

namespace {

enum HttpStatus : std::int32_t {
  Ok = 200,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  TooManyRequests = 429,
  InternalServerError = 500,
  ServiceUnavailable = 503,
};

Error indeterminate(PlatformCallEffect Effect, std::string const &Message) {
  if (Effect == PlatformCallEffect::Writes)
    return {ErrorKind::OutcomeUnknown, Message,
            "read back to see whether it took effect"};
  return {ErrorKind::Unavailable, Message, "try again later"};
}

Error conflict(std::string const &Body, std::string const &CallName) {
  auto const Parsed = nlohmann::json::parse(Body, nullptr, false);
  std::string Present = "unknown";
  if (Parsed.is_object() && Parsed.contains("version"))
    Present = Parsed["version"].dump();
  return {ErrorKind::Conflict,
          CallName + " was refused: the present version is " + Present,
          "read the object again and decide anew"};
}

Error errorOfStatus(PlatformAnswer const &Answer, PlatformCallEffect Effect,
                    std::string const &CallName) {
  auto const Message =
      CallName + " was answered with status " + std::to_string(Answer.Status_);
  switch (Answer.Status_) {
  case NotFound:
    return {ErrorKind::NotFound, Message, "check the name"};
  case Conflict:
    return conflict(Answer.Body_, CallName);
  case TooManyRequests:
    return {ErrorKind::ResourceExhausted, Message, "try again in a second"};
  case ServiceUnavailable:
    return {ErrorKind::Unavailable, Message, "try again later"};
  default:
    break;
  }
  if (Answer.Status_ >= InternalServerError || Answer.Status_ < BadRequest)
    return indeterminate(Effect, Message);
  return {ErrorKind::InvalidArgument, Message,
          "correct the call; sending it again fails too"};
}

} // namespace

std::optional<Error> errorIn(PlatformReply const &Reply,
                             PlatformCallEffect Effect,
                             std::string const &CallName) {
  if (auto const *Failure = std::get_if<TransportFailure>(&Reply)) {
    auto const Message = CallName + " got no answer: " + Failure->Detail_;
    if (Failure->Progress_ == SendProgress::NotSent)
      return Error{ErrorKind::Unavailable, Message, "try again later"};
    return indeterminate(Effect, Message);
  }
  auto const &Answer = std::get<PlatformAnswer>(Reply);
  if (Answer.Status_ == Ok)
    return std::nullopt;
  return errorOfStatus(Answer, Effect, CallName);
}

Error malformedAnswer(PlatformCallEffect Effect, std::string const &CallName) {
  return indeterminate(Effect,
                       CallName + " got an answer that is not understood");
}

} // namespace laburnum
