#include <PlatformStandin/PlatformStandin.h>
#include <PlatformStandin/StandinCodec.h>

#include <charconv>

namespace laburnum {

namespace {

using Json = nlohmann::json;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int PayloadTooLarge = 413;
constexpr int TooManyRequests = 429;

/// The maximum wait of a long poll.
constexpr std::uint64_t MaxWaitMilliseconds = 60'000;

void answer(httplib::Response &Answer, Json const &Body) {
  Answer.set_content(Body.dump(-1, ' ', false, Json::error_handler_t::replace),
                     "application/json");
}

std::optional<std::uint64_t> numberOf(httplib::Request const &HttpRequest,
                                      char const *Name) {
  auto const Text = HttpRequest.get_param_value(Name);
  std::uint64_t Number = 0;
  auto const *End = Text.data() + Text.size();
  auto const Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

std::chrono::milliseconds waitOf(httplib::Request const &HttpRequest) {
  auto const RequestedWait = numberOf(HttpRequest, "wait_ms").value_or(0);
  return std::chrono::milliseconds(
      std::min(RequestedWait, MaxWaitMilliseconds));
}

ObjectKey keyOf(httplib::Request const &HttpRequest) {
  return {HttpRequest.matches[1], HttpRequest.matches[2]};
}

int statusOf(Result<Version> const &Outcome) {
  if (!isError(Outcome))
    return Ok;
  auto const IsConflict = errorOf(Outcome).Kind_ == ErrorKind::Conflict;
  return IsConflict ? Conflict : PayloadTooLarge;
}

} // namespace

void PlatformStandin::readObject(Request const &HttpRequest, Response &Answer) {
  auto const Object = Store_.find(keyOf(HttpRequest));
  if (Object.Version_ == 0) {
    Answer.status = NotFound;
    return;
  }
  answer(Answer, encode(Object));
}

void PlatformStandin::listObjects(Request const &HttpRequest,
                                  Response &Answer) {
  answer(Answer, encode(Store_.list(HttpRequest.matches[1])));
}

void PlatformStandin::writeObject(Request const &HttpRequest,
                                  Response &Answer) {
  auto const Expected = numberOf(HttpRequest, "expected");
  auto const Value = decodePutValue(HttpRequest.body);
  if (!Expected || !Value) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::LoseWrites))
    return BreakableServer::dropAnswer();
  auto const Outcome = Store_.putIf(keyOf(HttpRequest), *Expected, *Value);
  if (Faults_.appliesToCall(StandinFault::LoseWriteAnswers))
    return BreakableServer::dropAnswer();
  Answer.status = statusOf(Outcome.Result_);
  answer(Answer, {{"version", Outcome.CurrentVersion_}});
}

void PlatformStandin::watchObjects(Request const &HttpRequest,
                                   Response &Answer) {
  auto const From = numberOf(HttpRequest, "from");
  if (!From) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::WatchGap))
    return answer(Answer, encode(Store_.gap()));
  answer(Answer, encode(Store_.watch(HttpRequest.matches[1], *From,
                                     waitOf(HttpRequest))));
}

void PlatformStandin::listInstances(Request const &, Response &Answer) {
  answer(Answer, encode(Cloud_.listing(readClock())));
}

void PlatformStandin::registerInstance(Request const &HttpRequest,
                                       Response &Answer) {
  auto const Instance = decodeEntry(HttpRequest.body);
  if (!Instance) {
    Answer.status = BadRequest;
    return;
  }
  Cloud_.add(*Instance, readClock());
  answer(Answer, Json::object());
}

void PlatformStandin::serveNotices(Request const &HttpRequest,
                                   Response &Answer) {
  auto const From = numberOf(HttpRequest, "from").value_or(0);
  answer(Answer, encode(Cloud_.notices(From, waitOf(HttpRequest))));
}

void PlatformStandin::startInstance(Request const &HttpRequest,
                                    Response &Answer) {
  auto const Order = decodeStart(HttpRequest.body);
  if (!Order) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::RefuseStarts))
    return refuse(Answer, TooManyRequests);
  auto const Id = Cloud_.start(*Order, readClock());
  answer(Answer, {{"id", Id.text()}});
}

void PlatformStandin::stopInstance(Request const &HttpRequest,
                                   Response &Answer) {
  auto const Id = decodeStop(HttpRequest.body);
  if (!Id) {
    Answer.status = BadRequest;
    return;
  }
  Cloud_.remove(*Id, readClock());
  answer(Answer, Json::object());
}

void PlatformStandin::serveWeights(Request const &HttpRequest,
                                   Response &Answer) {
  answer(Answer, {{"model", std::string(HttpRequest.matches[1])}});
}

void PlatformStandin::switchFault(Request const &HttpRequest,
                                  Response &Answer) {
  auto const Requested = decodeFault(HttpRequest.body);
  auto const Fault =
      Requested ? standinFaultNamed(Requested->Kind_) : std::nullopt;
  if (Fault && Requested->IsOn_)
    Faults_.switchOn(*Fault, Requested->Count_, Requested->Delay_);
  else if (Fault)
    Faults_.switchOff(*Fault);
  else if (Requested && Requested->Kind_ == "stale_reads" && Requested->IsOn_)
    Store_.beginStaleReads(Requested->Count_);
  else if (Requested && Requested->Kind_ == "stale_reads")
    Store_.endStaleReads();
  else if (Requested && Requested->Kind_ == "restore")
    Store_.restore(Requested->Count_);
  else
    Answer.status = BadRequest;
  answer(Answer, Json::object());
}

void PlatformStandin::reclaimInstance(Request const &HttpRequest,
                                      Response &Answer) {
  auto const Notice = decodeReclaim(HttpRequest.body);
  if (!Notice) {
    Answer.status = BadRequest;
    return;
  }
  Cloud_.reclaim(*Notice, readClock());
  answer(Answer, Json::object());
}

void PlatformStandin::showCounters(Request const &, Response &Answer) {
  answer(Answer, {{"get", Counters_.Gets_.load()},
                  {"list", Counters_.Lists_.load()},
                  {"put", Counters_.Puts_.load()},
                  {"watch", Counters_.Watches_.load()},
                  {"instances", Counters_.InstanceLists_.load()},
                  {"notices", Counters_.Notices_.load()},
                  {"start", Counters_.Starts_.load()},
                  {"stop", Counters_.Stops_.load()},
                  {"weights", Counters_.Weights_.load()},
                  {"refused", Counters_.Refused_.load()}});
}

} // namespace laburnum
