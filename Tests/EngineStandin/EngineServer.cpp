#include <EngineStandin/EngineServer.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace laburnum {

using nlohmann::json;

/// How often a waiting stream checks whether its connection is still open.
static constexpr Duration ConnectionCheck = std::chrono::milliseconds(100);
/// The core advances at most this often. With a thousand streams a token is due
/// every few microseconds, and advancing for each would keep the mutex from the
/// threads that write them.
static constexpr Duration MinTickInterval = std::chrono::milliseconds(1);
static constexpr std::size_t KvBytesPerToken = 1024;
static constexpr int CrashStatus = 70;

EngineServer::EngineServer(EngineSettings Settings, std::size_t Threads)
    : Settings_(std::move(Settings)), Core_(Settings_), Host_(Threads) {
  setRoutes();
}

EngineServer::~EngineServer() { stop(); }

std::uint16_t EngineServer::start(std::uint16_t Port) {
  auto const Bound = Host_.start(Port);
  if (Bound != 0)
    CoreThread_ = std::thread([this] { runCore(); });
  return Bound;
}

void EngineServer::stop() {
  {
    std::lock_guard const Lock(Mutex_);
    IsStopping_ = true;
    for (auto const &[Key, One] : Streams_)
      One->Ready_.notify_all();
  }
  Changed_.notify_all();
  if (CoreThread_.joinable())
    CoreThread_.join();
  Host_.stop();
}

EngineCounts EngineServer::counts() {
  std::lock_guard const Lock(Mutex_);
  return Core_.counts();
}

void EngineServer::runCore() {
  std::unique_lock Lock(Mutex_);
  while (!IsStopping_) {
    auto Outputs = Core_.advance(readClock());
    for (auto &Output : Outputs)
      dispatch(std::move(Output));
    if (auto const Next = Core_.nextDue())
      Changed_.wait_until(Lock, std::max(*Next, readClock() + MinTickInterval));
    else
      Changed_.wait(Lock);
  }
}

void EngineServer::dispatch(EngineOutput Output) {
  if (std::holds_alternative<EngineCrash>(Output.Message_))
    _exit(CrashStatus);
  auto const Found = Streams_.find(Output.Stream_);
  if (Found == Streams_.end())
    return;
  Found->second->Outputs_.push_back(std::move(Output));
  Found->second->Ready_.notify_all();
}

void EngineServer::setRoutes() {
  using httplib::Request;
  using httplib::Response;
  auto &Routes = Host_.server();
  Routes.Post("/v1/completions",
              [this](Request const &In, Response &Out) { complete(In, Out); });
  Routes.Post("/v1/cancel",
              [this](Request const &In, Response &Out) { cancel(In, Out); });
  Routes.Get("/load", [this](Request const &, Response &Out) { load(Out); });
  Routes.Get("/events",
             [this](Request const &In, Response &Out) { events(In, Out); });
  Routes.Post("/kv/export",
              [this](Request const &In, Response &Out) { exportKv(In, Out); });
  Routes.Get("/kv/blocks",
             [this](Request const &In, Response &Out) { blocks(In, Out); });
  Routes.Post("/kv/import",
              [this](Request const &In, Response &Out) { importKv(In, Out); });
  Routes.Post("/orders",
              [this](Request const &In, Response &Out) { order(In, Out); });
  Routes.Get("/orders",
             [this](Request const &, Response &Out) { orders(Out); });
  Routes.Get("/counts",
             [this](Request const &, Response &Out) { answerCounts(Out); });
}

static void answer(httplib::Response &Response, json const &Body,
                   int Status = 200) {
  Response.status = Status;
  Response.set_content(Body.dump(), "application/json");
}

static void answerError(httplib::Response &Response, Error const &Failure,
                        int Status) {
  answer(Response, {{"error", toString(Failure)}}, Status);
}

static Error malformed() {
  return {ErrorKind::InvalidArgument, "the body is not of the protocol",
          "see docs/PROTOCOLS.md"};
}

/// Returns nullopt for a malformed body, including members of a wrong type, for
/// which json::value() throws.
template <typename Read>
static auto readBody(httplib::Request const &Request, Read const &Reader)
    -> std::optional<decltype(Reader(json()))> {
  auto const Body = json::parse(Request.body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  try {
    return Reader(Body);
  } catch (json::exception const &) {
    return std::nullopt;
  }
}

static CompletionCall callOf(json const &Body) {
  CompletionCall Call;
  Call.Request_ = RequestId(Body.at("request_id").get<std::string>());
  Call.Attempt_ = Body.at("attempt");
  Call.Model_ = ServiceName(Body.value("model", ""));
  Call.Prompt_ = Body.at("prompt");
  Call.MaxTokens_ = Body.value("max_tokens", Call.MaxTokens_);
  Call.Priority_ = Body.value("priority", 0);
  Call.ResumeFrom_ = Body.value("resume_from", 0U);
  Call.Produced_ = Body.value("produced", std::vector<std::string>());
  return Call;
}

static std::string loadHeader(LoadReport const &Load) {
  return "running=" + std::to_string(Load.Running_) +
         " queued=" + std::to_string(Load.Queued_);
}

void EngineServer::complete(httplib::Request const &Request,
                            httplib::Response &Response) {
  auto const Call = readBody(Request, callOf);
  if (!Call)
    return answerError(Response, malformed(), 400);
  StreamKey const Key{Call->Request_, Call->Attempt_};
  auto const Queue = std::make_shared<Stream>();
  {
    std::lock_guard const Lock(Mutex_);
    auto const Submitted = Core_.submit(*Call, readClock());
    if (isError(Submitted)) {
      bool const IsKnown = errorOf(Submitted).Kind_ == ErrorKind::Conflict;
      return answerError(Response, errorOf(Submitted), IsKnown ? 409 : 400);
    }
    Streams_[Key] = Queue;
    Response.set_header("Laburnum-Load", loadHeader(Core_.load().Load_));
  }
  Changed_.notify_all();
  Response.set_chunked_content_provider(
      "text/event-stream",
      [this, Key, Queue](std::size_t, httplib::DataSink &Sink) {
        return writeNext(Key, *Queue, Sink);
      },
      [this, Key](bool) { removeStream(Key); });
}

static json messageOf(EngineOutput const &Output) {
  if (auto const *Piece = std::get_if<TokenPiece>(&Output.Message_))
    return {{"offset", Piece->Offset_}, {"text", Piece->Text_}};
  auto const &Done = std::get<CompletionDone>(Output.Message_);
  return {{"done", true},
          {"computed_tokens", Done.ComputedTokens_},
          {"running", Done.Load_.Running_},
          {"queued", Done.Load_.Queued_}};
}

bool EngineServer::writeNext(StreamKey const &Key, Stream &Queue,
                             httplib::DataSink &Sink) {
  std::string Text;
  bool IsDone = false;
  {
    std::unique_lock Lock(Mutex_);
    auto const IsOver = [&] { return IsStopping_ || !Streams_.contains(Key); };
    Queue.Ready_.wait_for(Lock, ConnectionCheck,
                          [&] { return IsOver() || !Queue.Outputs_.empty(); });
    if (IsOver())
      return false;
    for (auto const &Output : Queue.Outputs_) {
      Text += "data: " + messageOf(Output).dump() + "\n\n";
      IsDone = std::holds_alternative<CompletionDone>(Output.Message_);
    }
    Queue.Outputs_.clear();
  }
  if (Text.empty())
    return Sink.is_writable();
  if (!Sink.write(Text.data(), Text.size()))
    return false;
  if (IsDone)
    Sink.done();
  return true;
}

/// Removes the stream of a closed connection and cancels its request.
void EngineServer::removeStream(StreamKey const &Key) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Streams_.find(Key);
  if (Found == Streams_.end())
    return;
  Found->second->Ready_.notify_all();
  Streams_.erase(Found);
  Core_.cancel(Key, readClock());
  Changed_.notify_all();
}

void EngineServer::cancel(httplib::Request const &Request,
                          httplib::Response &Response) {
  auto const Key = readBody(Request, [](json const &Body) {
    return StreamKey{RequestId(Body.at("request_id").get<std::string>()),
                     Body.at("attempt").get<AttemptNumber>()};
  });
  if (!Key)
    return answerError(Response, malformed(), 400);
  removeStream(*Key);
  answer(Response, json::object());
}

void EngineServer::load(httplib::Response &Response) {
  std::lock_guard const Lock(Mutex_);
  auto const Reported = Core_.laggingLoad(readClock());
  answer(Response, {{"running", Reported.Load_.Running_},
                    {"queued", Reported.Load_.Queued_},
                    {"kv_tokens", Reported.KvTokens_},
                    {"kv_capacity", Settings_.KvTokens_}});
}

void EngineServer::events(httplib::Request const &Request,
                          httplib::Response &Response) {
  auto const From = Request.get_param_value("from");
  std::lock_guard const Lock(Mutex_);
  auto const Reported =
      Core_.eventsFrom(std::strtoull(From.c_str(), nullptr, 10));
  auto Events = json::array();
  for (auto const &Event : Reported.Events_) {
    bool const IsStored = Event.Kind_ == CacheEventKind::Stored;
    Events.push_back({{"sequence", Event.Sequence_},
                      {"kind", IsStored ? "stored" : "evicted"},
                      {"prefix_hash", Event.PrefixHash_}});
  }
  answer(Response, {{"next", Reported.Next_},
                    {"gap", Reported.HasGap_},
                    {"events", Events}});
}

void EngineServer::exportKv(httplib::Request const &Request,
                            httplib::Response &Response) {
  auto const RequestedId = readBody(Request, [](json const &Body) {
    return RequestId(Body.at("request_id").get<std::string>());
  });
  if (!RequestedId)
    return answerError(Response, malformed(), 400);
  std::lock_guard const Lock(Mutex_);
  auto const Blocks = Core_.exportBlocks(*RequestedId);
  if (isError(Blocks))
    return answerError(Response, errorOf(Blocks), 404);
  auto const Handle = "kv-" + std::to_string(Exports_.size() + 1);
  Exports_[Handle] = valueOf(Blocks);
  auto const Tokens = valueOf(Blocks).size() * BlockTokens;
  answer(Response, {{"handle", Handle},
                    {"tokens", Tokens},
                    {"bytes", Tokens * KvBytesPerToken}});
}

void EngineServer::blocks(httplib::Request const &Request,
                          httplib::Response &Response) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Exports_.find(Request.get_param_value("handle"));
  if (Found == Exports_.end())
    return answer(Response, {{"error", "no such handle"}}, 404);
  answer(Response, {{"blocks", Found->second}});
}

void EngineServer::importKv(httplib::Request const &Request,
                            httplib::Response &Response) {
  auto const Handle = readBody(Request, [](json const &Body) {
    return Body.at("handle").get<std::string>();
  });
  auto const From = readBody(Request, [](json const &Body) {
    return Body.at("from").get<std::string>();
  });
  if (!Handle || !From)
    return answerError(Response, malformed(), 400);
  httplib::Client Source("http://" + *From);
  auto const Fetched = Source.Get("/kv/blocks?handle=" + *Handle);
  if (!Fetched || Fetched->status != 200)
    return answer(Response, {{"error", "the source does not answer"}}, 502);
  auto const Body = json::parse(Fetched->body, nullptr, false);
  std::lock_guard const Lock(Mutex_);
  Core_.importBlocks(Body["blocks"].get<std::vector<std::uint64_t>>());
  answer(Response, json::object());
}

void EngineServer::order(httplib::Request const &Request,
                         httplib::Response &Response) {
  auto const Order = readBody(Request, [](json const &Body) {
    return EngineOrder{Body.at("fencing"), Body.at("order_id"), Body.at("kind"),
                       Body.at("argument")};
  });
  if (!Order)
    return answerError(Response, malformed(), 400);
  std::lock_guard const Lock(Mutex_);
  auto const Applied = Core_.order(*Order);
  if (isError(Applied))
    return answerError(Response, errorOf(Applied), 412);
  answer(Response, json::object());
}

void EngineServer::orders(httplib::Response &Response) {
  std::lock_guard const Lock(Mutex_);
  auto List = json::array();
  for (auto const &Order : Core_.orders())
    List.push_back({{"fencing", Order.Fencing_},
                    {"order_id", Order.OrderId_},
                    {"kind", Order.Kind_},
                    {"argument", Order.Argument_}});
  answer(Response, {{"orders", List}});
}

void EngineServer::answerCounts(httplib::Response &Response) {
  auto const Counts = counts();
  answer(Response, {{"started", Counts.Started_},
                    {"cancelled", Counts.Cancelled_},
                    {"finished", Counts.Finished_},
                    {"tokens_generated", Counts.TokensGenerated_},
                    {"prompt_tokens_computed", Counts.PromptTokensComputed_}});
}

} // namespace laburnum
