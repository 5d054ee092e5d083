#include <LibBackend/EngineMessages.h>

#include <nlohmann/json.hpp>
#include <sstream>

namespace laburnum {

using nlohmann::json;

/// Serializes the body. Text from callers may contain invalid UTF-8, which JSON
/// cannot represent and which is replaced.
static std::string dump(json const &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string completionBody(CompletionCall const &Call) {
  return dump({{"request_id", Call.Request_.text()},
               {"attempt", Call.Attempt_},
               {"model", Call.Model_.text()},
               {"prompt", Call.Prompt_},
               {"max_tokens", Call.MaxTokens_},
               {"priority", Call.Priority_},
               {"resume_from", Call.ResumeFrom_},
               {"produced", Call.Produced_}});
}

std::string cancelBody(RequestId const &Request, AttemptNumber Attempt) {
  return dump({{"request_id", Request.text()}, {"attempt", Attempt}});
}

static bool isCount(json const &Body, char const *Name) {
  return Body.contains(Name) && Body[Name].is_number_unsigned();
}

static Error protocolError() {
  return {ErrorKind::InvalidArgument,
          "the engine sent a message that is not of its protocol",
          "check the engine's version"};
}

Result<CompletionMessage> parseCompletionMessage(std::string const &Text,
                                                 AttemptNumber Attempt) {
  auto const Body = json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return protocolError();
  if (Body.contains("done")) {
    for (char const *Name : {"computed_tokens", "running", "queued"})
      if (!isCount(Body, Name))
        return protocolError();
    LoadReport const Load{Body["running"], Body["queued"]};
    return CompletionDone{Body["computed_tokens"], Load};
  }
  if (!isCount(Body, "offset") || !Body.contains("text") ||
      !Body["text"].is_string())
    return protocolError();
  return TokenPiece{Attempt, Body["offset"], Body["text"]};
}

std::optional<LoadReport> parseLoad(std::string const &Value) {
  std::istringstream Words(Value);
  LoadReport Load;
  std::string Name;
  char Rest = 0;
  if (!std::getline(Words, Name, '=') || Name != "running" ||
      !(Words >> Load.Running_))
    return std::nullopt;
  if (!std::getline(Words >> std::ws, Name, '=') || Name != "queued" ||
      !(Words >> Load.Queued_))
    return std::nullopt;
  if (Words >> Rest)
    return std::nullopt;
  return Load;
}

} // namespace laburnum
