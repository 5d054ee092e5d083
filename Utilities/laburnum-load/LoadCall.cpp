#include "LoadCall.h"
#include <LibBackend/ServerSentEvents.h>

#include <nlohmann/json.hpp>

namespace laburnum {

using nlohmann::json;

static constexpr std::size_t MaxErrorBytes = 65536;

static bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

static std::string runStateOf(std::string const &Body) {
  auto const Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object())
    return "";
  auto const &Failure = Parsed.contains("error") ? Parsed["error"] : Parsed;
  if (!Failure.is_object() || !Failure.contains("run_state") ||
      !Failure["run_state"].is_string())
    return "";
  return Failure["run_state"];
}

static httplib::Headers headersOf(LoadSettings const &Settings) {
  return {{"Authorization", "Bearer " + Settings.Key_}};
}

static CallOutcome makePlainCall(httplib::Client &Client,
                                 LoadSettings const &Settings,
                                 TimePoint PlannedStart) {
  CallOutcome Outcome;
  auto const Answer = Client.Get(
      "/services/" + Settings.Service_ + Settings.Path_, headersOf(Settings));
  Outcome.TotalTime_ = readClock() - PlannedStart;
  if (!Answer)
    return Outcome;
  Outcome.Status_ = Answer->status;
  Outcome.IsComplete_ = isSuccess(Answer->status);
  if (!Outcome.IsComplete_)
    Outcome.RunState_ = runStateOf(Answer->body);
  return Outcome;
}

namespace {

/// Counts the tokens of an OpenAI-style stream and keeps the body of an error.
class StreamCounter {
public:
  StreamCounter(CallOutcome &Outcome, TimePoint PlannedStart)
      : Outcome_(Outcome), PlannedStart_(PlannedStart) {}

  bool take(std::string_view Bytes) {
    if (ErrorBody_.size() < MaxErrorBytes)
      ErrorBody_.append(Bytes.substr(0, MaxErrorBytes));
    auto const Events = Events_.feed(Bytes);
    if (isError(Events))
      return false;
    for (auto const &Event : valueOf(Events))
      takeEvent(Event);
    return true;
  }

  std::string const &errorBody() const { return ErrorBody_; }

private:
  void takeEvent(std::string const &Event) {
    if (Event == "[DONE]") {
      Outcome_.IsComplete_ = true;
      return;
    }
    auto const Message = json::parse(Event, nullptr, false);
    if (!Message.is_object())
      return;
    if (!Message.contains("choices")) {
      Outcome_.RunState_ = runStateOf(Event);
      return;
    }
    ++Outcome_.Tokens_;
    if (!Outcome_.FirstTokenTime_)
      Outcome_.FirstTokenTime_ = readClock() - PlannedStart_;
  }

  CallOutcome &Outcome_;
  TimePoint const PlannedStart_;
  ServerSentEvents Events_;
  std::string ErrorBody_;
};

} // namespace

static httplib::Request completionOf(LoadSettings const &Settings,
                                     PlannedCall const &Call) {
  bool const IsLong = Call.Kind_ == LoadKind::Long;
  json const Body = {
      {"model", Settings.Model_},
      {"prompt", "load call " + std::to_string(Call.Number_)},
      {"max_tokens", IsLong ? Settings.LongTokens_ : Settings.ShortTokens_},
      {"stream", true}};
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/v1/completions";
  Request.headers = headersOf(Settings);
  Request.headers.emplace("Content-Type", "application/json");
  Request.body = Body.dump();
  return Request;
}

static CallOutcome makeCompletion(httplib::Client &Client,
                                  LoadSettings const &Settings,
                                  PlannedCall const &Call,
                                  TimePoint PlannedStart) {
  CallOutcome Outcome;
  StreamCounter Counter(Outcome, PlannedStart);
  auto Request = completionOf(Settings, Call);
  Request.content_receiver = [&](char const *Bytes, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    return Counter.take({Bytes, Size});
  };
  httplib::Response Response;
  auto Failure = httplib::Error::Success;
  Client.send(Request, Response, Failure);
  Outcome.TotalTime_ = readClock() - PlannedStart;
  Outcome.Status_ = std::max(Response.status, 0);
  if (Outcome.Status_ != 0 && !isSuccess(Outcome.Status_))
    Outcome.RunState_ = runStateOf(Counter.errorBody());
  return Outcome;
}

CallOutcome makeCall(httplib::Client &Client, LoadSettings const &Settings,
                     PlannedCall const &Call, TimePoint PlannedStart) {
  auto Outcome = Call.Kind_ == LoadKind::Plain
                     ? makePlainCall(Client, Settings, PlannedStart)
                     : makeCompletion(Client, Settings, Call, PlannedStart);
  Outcome.Kind_ = Call.Kind_;
  return Outcome;
}

} // namespace laburnum
