#include <LibCallers/AnswerWriter.h>

#include <LibCallers/EventId.h>

#include <nlohmann/json.hpp>

namespace laburnum {

namespace {

using Json = nlohmann::json;

Json choiceOf(std::string const &Text, CompletionStyle Style,
              Streaming Streamed) {
  Json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (Style == CompletionStyle::Text)
    Choice["text"] = Text;
  else if (Streamed == Streaming::Yes)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  return Choice;
}

std::string objectName(CompletionStyle Style, Streaming Streamed) {
  if (Style == CompletionStyle::Text)
    return "text_completion";
  return Streamed == Streaming::Yes ? "chat.completion.chunk"
                                    : "chat.completion";
}

/// Serializes the value; invalid UTF-8 is replaced.
std::string dump(Json const &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

HttpAnswer answerOf(FailureAnswer const &Failure, RequestId const &Request) {
  HttpAnswer Answer;
  Answer.Status_ = httpStatusOf(Failure.Error_.Kind_);
  Answer.Body_ = toJson(Failure, Request);
  if (Failure.RetryAfter_) {
    auto const Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Failure.RetryAfter_);
    Answer.Fields_.push_back({"Retry-After", std::to_string(Seconds.count())});
  }
  return Answer;
}

HttpAnswer refusalOf(Error const &Failure, RequestId const &Request) {
  return answerOf({Failure, RunState::NotRun, std::nullopt}, Request);
}

HttpAnswer answerOfCompletion(std::string const &Text, std::uint32_t Tokens,
                              ParsedRequest const &Read) {
  auto Choice = choiceOf(Text, Read.Form_.Style_, Streaming::No);
  Choice["finish_reason"] = "stop";
  Json const Body = {{"id", Read.Request_.Id_.text()},
                     {"object", objectName(Read.Form_.Style_, Streaming::No)},
                     {"model", Read.Request_.Service_.text()},
                     {"choices", Json::array({Choice})},
                     {"usage", {{"completion_tokens", Tokens}}}};
  HttpAnswer Answer;
  Answer.Body_ = dump(Body);
  return Answer;
}

std::string tokenEvent(StreamToken const &Token, ParsedRequest const &Read) {
  auto const Choice = choiceOf(Token.Text_, Read.Form_.Style_, Streaming::Yes);
  Json const Chunk = {{"id", Read.Request_.Id_.text()},
                      {"object", objectName(Read.Form_.Style_, Streaming::Yes)},
                      {"model", Read.Request_.Service_.text()},
                      {"choices", Json::array({Choice})}};
  return "id: " + toString(EventId{Token.Offset_, Token.Digest_}) +
         "\ndata: " + dump(Chunk) + "\n\n";
}

std::string endEvent() { return "data: [DONE]\n\n"; }

std::string movedEvent(ParsedRequest const &Read) {
  auto const &Key = Read.Request_.Key_;
  Json const Body = {
      {"idempotency_key", Key ? Key->text() : Read.Request_.Id_.text()}};
  return "event: moved\ndata: " + dump(Body) + "\n\n";
}

std::string failureEvent(FailureAnswer const &Failure,
                         RequestId const &Request) {
  return "event: error\ndata: " + toJson(Failure, Request) + "\n\n";
}

} // namespace laburnum
