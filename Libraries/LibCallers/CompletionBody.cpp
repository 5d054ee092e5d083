#include <LibCallers/CompletionBody.h>

#include <nlohmann/json.hpp>

namespace laburnum {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::uint32_t MaxTokensLimit = 131072;

Error invalidArgument(std::string const &What, std::string const &Remedy) {
  return Error{ErrorKind::InvalidArgument, What, Remedy};
}

Result<std::string> textPrompt(Json const &Body) {
  auto const Found = Body.find("prompt");
  if (Found == Body.end() || !Found->is_string())
    return invalidArgument("\"prompt\" is missing or not a string",
                           "give the prompt as one string");
  return Found->get<std::string>();
}

Result<std::string> chatPrompt(Json const &Body) {
  auto const Found = Body.find("messages");
  if (Found == Body.end() || !Found->is_array() || Found->empty())
    return invalidArgument("\"messages\" is missing or not an array",
                           "give at least one {\"role\",\"content\"} object");
  std::string Prompt;
  for (auto const &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message.contains("content") || !Message["role"].is_string() ||
        !Message["content"].is_string())
      return invalidArgument(
          "an item of \"messages\" has no role or content",
          "give each as {\"role\":\"...\",\"content\":\"...\"}");
    Prompt += Message["role"].get<std::string>() + ": " +
              Message["content"].get<std::string>() + "\n";
  }
  return Prompt;
}

Result<std::uint32_t> maxTokens(Json const &Body) {
  auto const Found = Body.find("max_tokens");
  if (Found == Body.end())
    return DefaultMaxTokens;
  auto const Message = "\"max_tokens\" is out of range";
  auto const Remedy =
      "give a whole number from 1 to " + std::to_string(MaxTokensLimit);
  if (!Found->is_number_integer())
    return invalidArgument(Message, Remedy);
  auto const Value = Found->get<std::int64_t>();
  if (Value < 1 || Value > MaxTokensLimit)
    return invalidArgument(Message, Remedy);
  return static_cast<std::uint32_t>(Value);
}

Result<Streaming> streaming(Json const &Body) {
  auto const Found = Body.find("stream");
  if (Found == Body.end())
    return Streaming::No;
  if (!Found->is_boolean())
    return invalidArgument("\"stream\" is not a boolean", "give true or false");
  return Found->get<bool>() ? Streaming::Yes : Streaming::No;
}

} // namespace

Result<CompletionBody> parseCompletionBody(CompletionStyle Style,
                                           std::string const &Text) {
  auto const Body = Json::parse(Text, nullptr, false);
  if (Body.is_discarded() || !Body.is_object())
    return invalidArgument("the body is not a JSON object",
                           "send one JSON object (RFC 8259)");
  auto const Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    return invalidArgument("\"model\" is missing or not a string",
                           "name the service in \"model\"");
  auto Prompt =
      Style == CompletionStyle::Chat ? chatPrompt(Body) : textPrompt(Body);
  if (isError(Prompt))
    return errorOf(Prompt);
  auto const Tokens = maxTokens(Body);
  if (isError(Tokens))
    return errorOf(Tokens);
  auto const Stream = streaming(Body);
  if (isError(Stream))
    return errorOf(Stream);
  return CompletionBody{ServiceName(Model->get<std::string>()),
                        takeValue(std::move(Prompt)), valueOf(Tokens),
                        valueOf(Stream)};
}

} // namespace laburnum
