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

/// The longest wait of a long poll, whatever is asked for.
constexpr std::uint64_t MostWaitMilliseconds = 60'000;

void answer(httplib::Response &Answer, Json const &Body) {
  Answer.set_content(Body.dump(-1, ' ', false, Json::error_handler_t::replace),
                     "application/json");
}

std::optional<std::uint64_t> numberOf(httplib::Request const &Asked,
                                      char const *Name) {
  auto const Text = Asked.get_param_value(Name);
  std::uint64_t Number = 0;
  auto const *End = Text.data() + Text.size();
  auto const Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

std::chrono::milliseconds waitOf(httplib::Request const &Asked) {
  auto const Asking = numberOf(Asked, "wait_ms").value_or(0);
  return std::chrono::milliseconds(std::min(Asking, MostWaitMilliseconds));
}

ObjectKey keyOf(httplib::Request const &Asked) {
  return {Asked.matches[1], Asked.matches[2]};
}

int statusOf(Result<Version> const &Outcome) {
  if (!isError(Outcome))
    return Ok;
  auto const IsConflict = errorOf(Outcome).Kind_ == ErrorKind::Conflict;
  return IsConflict ? Conflict : PayloadTooLarge;
}

} // namespace

void PlatformStandin::readObject(Request const &Asked, Response &Answer) {
  auto const Object = Store_.find(keyOf(Asked));
  if (Object.Version_ == 0) {
    Answer.status = NotFound;
    return;
  }
  answer(Answer, encode(Object));
}

void PlatformStandin::listObjects(Request const &Asked, Response &Answer) {
  answer(Answer, encode(Store_.list(Asked.matches[1])));
}

void PlatformStandin::writeObject(Request const &Asked, Response &Answer) {
  auto const Expected = numberOf(Asked, "expected");
  auto const Value = decodePutValue(Asked.body);
  if (!Expected || !Value) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::LoseWrites))
    return BreakableServer::dropAnswer();
  auto const Outcome = Store_.putIf(keyOf(Asked), *Expected, *Value);
  if (Faults_.appliesToCall(StandinFault::LoseWriteAnswers))
    return BreakableServer::dropAnswer();
  Answer.status = statusOf(Outcome.Result_);
  answer(Answer, {{"version", Outcome.CurrentVersion_}});
}

void PlatformStandin::watchObjects(Request const &Asked, Response &Answer) {
  auto const From = numberOf(Asked, "from");
  if (!From) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::WatchGap))
    return answer(Answer, encode(Store_.gap()));
  answer(Answer, encode(Store_.watch(Asked.matches[1], *From, waitOf(Asked))));
}

void PlatformStandin::listInstances(Request const &, Response &Answer) {
  answer(Answer, encode(Cloud_.listing(readClock())));
}

void PlatformStandin::registerInstance(Request const &Asked, Response &Answer) {
  auto const Instance = decodeEntry(Asked.body);
  if (!Instance) {
    Answer.status = BadRequest;
    return;
  }
  Cloud_.add(*Instance, readClock());
  answer(Answer, Json::object());
}

void PlatformStandin::serveNotices(Request const &Asked, Response &Answer) {
  auto const From = numberOf(Asked, "from").value_or(0);
  answer(Answer, encode(Cloud_.notices(From, waitOf(Asked))));
}

void PlatformStandin::startInstance(Request const &Asked, Response &Answer) {
  auto const Order = decodeStart(Asked.body);
  if (!Order) {
    Answer.status = BadRequest;
    return;
  }
  if (Faults_.appliesToCall(StandinFault::RefuseStarts))
    return refuse(Answer, TooManyRequests);
  auto const Id = Cloud_.start(*Order, readClock());
  answer(Answer, {{"id", Id.text()}});
}

void PlatformStandin::stopInstance(Request const &Asked, Response &Answer) {
  auto const Id = decodeStop(Asked.body);
  if (!Id) {
    Answer.status = BadRequest;
    return;
  }
  Cloud_.remove(*Id, readClock());
  answer(Answer, Json::object());
}

void PlatformStandin::serveWeights(Request const &Asked, Response &Answer) {
  answer(Answer, {{"model", std::string(Asked.matches[1])}});
}

void PlatformStandin::switchFault(Request const &Asked, Response &Answer) {
  auto const Wanted = decodeFault(Asked.body);
  auto const Fault = Wanted ? standinFaultNamed(Wanted->Kind_) : std::nullopt;
  if (Fault && Wanted->IsOn_)
    Faults_.switchOn(*Fault, Wanted->Count_, Wanted->Delay_);
  else if (Fault)
    Faults_.switchOff(*Fault);
  else if (Wanted && Wanted->Kind_ == "stale_reads" && Wanted->IsOn_)
    Store_.beginStaleReads(Wanted->Count_);
  else if (Wanted && Wanted->Kind_ == "stale_reads")
    Store_.endStaleReads();
  else if (Wanted && Wanted->Kind_ == "restore")
    Store_.restore(Wanted->Count_);
  else
    Answer.status = BadRequest;
  answer(Answer, Json::object());
}

void PlatformStandin::reclaimInstance(Request const &Asked, Response &Answer) {
  auto const Notice = decodeReclaim(Asked.body);
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
