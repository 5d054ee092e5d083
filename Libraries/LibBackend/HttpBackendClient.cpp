#include <LibBackend/EngineMessages.h>
#include <LibBackend/HttpBackendClient.h>
#include <LibBackend/HttpFields.h>
#include <LibBackend/ServerSentEvents.h>

#include <algorithm>

namespace laburnum {

/// Maximum time to connect to a backend server.
static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
static constexpr int MaxCancelAttempts = 2;
static constexpr int ServiceUnavailable = 503;
static constexpr int Ok = 200;
/// Bytes of memory for each byte of an answer, whose buffer doubles as it
/// grows.
static constexpr std::size_t BytesForGrowth = 2;

HttpBackendClient::HttpBackendClient(BackendClientSettings Settings)
    : Settings_(Settings),
      AnswerMemory_(std::max(Settings.AnswerMemoryBytes_,
                             BytesForGrowth * Settings.MaxAnswerBytes_)),
      Pool_(Settings.MaxIdlePerEndpoint_, Settings.MaxIdle_) {}

/// The timeouts of httplib limit single reads and writes. The deadline watch,
/// which shuts the socket down, limits the whole exchange and each pause in it.
HttpBackendClient::Outcome
HttpBackendClient::exchange(Endpoint const &Target, httplib::Request &Request,
                            httplib::Response &Response, Duration Timeout,
                            BodySink const &Sink) {
  if (Timeout <= Duration::zero())
    return {httplib::Error::ConnectionTimeout, true, {}};
  auto Client = Pool_.take(Target);
  Client->clearTrace();
  Client->set_connection_timeout(std::min(ConnectTimeout, Timeout));
  Client->set_read_timeout(Timeout);
  Client->set_write_timeout(Timeout);
  TimePoint const Deadline = readClock() + Timeout;
  auto const Watched = Watch_.add(Deadline, [&Client] { Client->stop(); });
  auto const ExtendDeadline = [&] {
    Watch_.move(Watched,
                std::min(Deadline, readClock() + Settings_.StallTimeout_));
  };
  Request.response_handler = [&](httplib::Response const &) {
    ExtendDeadline();
    return true;
  };
  Request.content_receiver = [&](char const *Bytes, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    ExtendDeadline();
    return Sink(Bytes, Size);
  };
  Outcome Exchanged;
  auto ExchangeError = httplib::Error::Success;
  bool const IsDone = Client->send(Request, Response, ExchangeError);
  bool const HasFired = Watch_.remove(Watched);
  Exchanged.Error_ = IsDone ? httplib::Error::Success : ExchangeError;
  Exchanged.IsTimedOut_ = HasFired || (!IsDone && readClock() >= Deadline);
  Exchanged.Trace_ = Client->trace();
  if (IsDone && !HasFired)
    Pool_.returnClient(Target, std::move(Client));
  return Exchanged;
}

/// httplib reports these errors only while connecting, before it writes.
static bool isNotConnected(httplib::Error Failure) {
  return Failure == httplib::Error::Connection ||
         Failure == httplib::Error::ConnectionTimeout ||
         Failure == httplib::Error::BindIPAddress;
}

static AttemptProgress progressOf(httplib::Error Failure,
                                  ConnectionTrace const &Trace) {
  if (Trace.HasStatusLine_)
    return AttemptProgress::AnswerBegun;
  if (Trace.BytesWritten_ > 0)
    return AttemptProgress::RequestSent;
  return isNotConnected(Failure) ? AttemptProgress::NotConnected
                                 : AttemptProgress::Connected;
}

AttemptEvidence
HttpBackendClient::evidenceOf(Outcome const &Exchanged,
                              httplib::Response const &Response) {
  AttemptEvidence Evidence;
  Evidence.Progress_ = progressOf(Exchanged.Error_, Exchanged.Trace_);
  Evidence.End_ = Exchanged.IsTimedOut_ ? AttemptEnd::TimedOut
                                        : AttemptEnd::ConnectionFailed;
  if (Exchanged.hasAnswer())
    Evidence.Status_ = Response.status;
  if (Exchanged.Error_ != httplib::Error::Success)
    Evidence.Detail_ = httplib::to_string(Exchanged.Error_);
  return Evidence;
}

/// Marks the answer as complete if its framing shows it, or as refused if it
/// has the Laburnum-Refused field.
void HttpBackendClient::classifyAnswer(AttemptEvidence &Evidence,
                                       httplib::Request const &Request,
                                       httplib::Response const &Response,
                                       Outcome const &Exchanged) {
  if (!Exchanged.hasAnswer())
    return;
  bool const IsDone = Exchanged.Error_ == httplib::Error::Success;
  if (IsDone && hasCompleteBody(Request.method, Response, Exchanged.Trace_)) {
    Evidence.Progress_ = AttemptProgress::AnswerWhole;
    Evidence.End_ = AttemptEnd::Answered;
  } else if (IsDone) {
    Evidence.Detail_ = "the answer's end is not marked by its framing";
  }
  if (Response.status == ServiceUnavailable &&
      Response.get_header_value("Laburnum-Refused") == "yes")
    Evidence.End_ = AttemptEnd::Refused;
}

PlainResult HttpBackendClient::call(BackendServer const &Server,
                                    PlainCall const &Call) {
  PlainResult Result;
  if (!isSendable(Call)) {
    Result.Evidence_.Detail_ = "the request holds control characters";
    return Result;
  }
  httplib::Request Request = plainRequest(Call);
  httplib::Response Response;
  auto const Room = std::make_shared<BodyMemory::Share>(AnswerMemory_);
  Result.Memory_ = Room;
  bool HasRoom = true;
  auto const Take = [&](char const *Bytes, std::size_t Size) {
    auto &Body = Result.Answer_.Body_;
    HasRoom = Room->extend(BytesForGrowth * (Body.size() + Size));
    if (HasRoom)
      Body.append(Bytes, Size);
    return HasRoom && Body.size() <= Settings_.MaxAnswerBytes_;
  };
  auto const Exchanged =
      exchange(Server.Endpoint_, Request, Response, Call.Timeout_, Take);
  Result.Evidence_ = evidenceOf(Exchanged, Response);
  classifyAnswer(Result.Evidence_, Request, Response, Exchanged);
  // No fault of the server.
  if (!HasRoom) {
    Result.Evidence_.End_ = AttemptEnd::Cancelled;
    Result.Evidence_.Detail_ = "the answers take too much memory";
  }
  if (!Exchanged.hasAnswer())
    return Result;
  Result.Answer_.Status_ = Response.status;
  Result.Answer_.ContentType_ = Response.get_header_value("Content-Type");
  Result.Load_ = parseLoad(Response.get_header_value("Laburnum-Load"));
  return Result;
}

namespace {

/// Reads an engine's stream into a result and forwards the pieces to the sink.
class StreamReader {
public:
  StreamReader(CompletionResult &Result, CompletionCall const &Call,
               PieceSink const &Sink)
      : Result_(Result), Call_(Call), Sink_(Sink) {}

  bool take(std::string_view Bytes) {
    auto const Events = Events_.feed(Bytes);
    if (isError(Events))
      return fail(errorOf(Events));
    for (auto const &Event : valueOf(Events))
      if (!takeEvent(Event))
        return false;
    return true;
  }

  bool isDone() const { return IsDone_; }
  bool isCancelled() const { return IsCancelled_; }
  std::string const &fault() const { return Fault_; }

private:
  bool takeEvent(std::string const &Event) {
    auto const Message = parseCompletionMessage(Event, Call_.Attempt_);
    if (isError(Message))
      return fail(errorOf(Message));
    if (auto const *Done = std::get_if<CompletionDone>(&valueOf(Message))) {
      Result_.ComputedTokens_ = Done->ComputedTokens_;
      Result_.Load_ = Done->Load_;
      IsDone_ = true;
      return true;
    }
    IsCancelled_ =
        Sink_(std::get<TokenPiece>(valueOf(Message))) == Continue::No;
    return !IsCancelled_;
  }

  bool fail(Error const &Failure) {
    Fault_ = toString(Failure);
    return false;
  }

  CompletionResult &Result_;
  CompletionCall const &Call_;
  PieceSink const &Sink_;
  ServerSentEvents Events_;
  bool IsDone_ = false;
  bool IsCancelled_ = false;
  std::string Fault_;
};

} // namespace

/// A stream is complete only with its last message; the end of the connection
/// does not complete it.
static void classifyStream(AttemptEvidence &Evidence,
                           StreamReader const &Reader) {
  if (Reader.isDone()) {
    Evidence.Progress_ = AttemptProgress::AnswerWhole;
    Evidence.End_ = AttemptEnd::Answered;
    return;
  }
  if (Reader.isCancelled())
    Evidence.End_ = AttemptEnd::Cancelled;
  if (!Reader.fault().empty())
    Evidence.Detail_ = Reader.fault();
}

CompletionResult HttpBackendClient::complete(BackendServer const &Server,
                                             CompletionCall const &Call,
                                             PieceSink const &Sink) {
  CompletionResult Result;
  StreamReader Reader(Result, Call, Sink);
  httplib::Request Request = completionRequest(Call);
  httplib::Response Response;
  auto const Take = [&](char const *Bytes, std::size_t Size) {
    // The body of an error answer is read only so that the connection can be
    // reused.
    return Response.status != Ok || Reader.take({Bytes, Size});
  };
  auto const Exchanged =
      exchange(Server.Endpoint_, Request, Response, Call.Timeout_, Take);
  Result.Evidence_ = evidenceOf(Exchanged, Response);
  auto &Evidence = Result.Evidence_;
  if (Exchanged.hasAnswer() && Response.status == Ok)
    classifyStream(Evidence, Reader);
  else
    classifyAnswer(Evidence, Request, Response, Exchanged);
  if (Exchanged.hasAnswer() && !Result.Load_)
    Result.Load_ = parseLoad(Response.get_header_value("Laburnum-Load"));
  bool const MayRun = Evidence.Progress_ != AttemptProgress::NotConnected &&
                      Evidence.End_ != AttemptEnd::Answered &&
                      Evidence.End_ != AttemptEnd::Refused;
  if (MayRun)
    cancel(Server.Endpoint_, Call);
  return Result;
}

/// Repeated on another connection if the engine was just closing the reused
/// one, which may be that of the broken stream. Cancelling is idempotent.
void HttpBackendClient::cancel(Endpoint const &Target,
                               CompletionCall const &Call) {
  for (int Sent = 0; Sent < MaxCancelAttempts; ++Sent) {
    httplib::Request Request = cancelRequest(Call);
    httplib::Response Response;
    auto const Exchanged =
        exchange(Target, Request, Response, Settings_.CancelTimeout_,
                 [](char const *, std::size_t) { return true; });
    if (Exchanged.hasAnswer() || Exchanged.IsTimedOut_)
      return;
  }
}

} // namespace laburnum
