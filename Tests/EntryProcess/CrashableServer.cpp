#include "CrashableServer.h"

#include "EntryProcess.h"
#include "StandinRecords.h"

#include <stdexcept>
#include <utility>

namespace laburnum::entry_process {

namespace {

constexpr std::uint16_t Port = 9000;
/// Lower address numbers belong to the entry instances.
constexpr unsigned FirstAddress = 100;

} // namespace

std::string CrashableServer::expectedAnswer(std::string_view AttemptId) {
  return "the whole answer to " + std::string(AttemptId);
}

CrashableServer::CrashableServer(asio::io_context &Context, StoreStandin &Store,
                                 unsigned Number,
                                 CrashableServerTimings Timings)
    : Context_(Context), Store_(Store), Number_(Number),
      Name_("i" + std::to_string(Number)),
      Timings_(Timings), Address_{loopbackAddress(FirstAddress + Number), Port},
      RestartTimer_(Context), LimitTimer_(Context) {}

void CrashableServer::setRateLimit(std::optional<std::string> Text) {
  LimitTimer_.cancel();
  RateLimit_ = std::move(Text);
}

void CrashableServer::setRateLimitFor(std::string Text, Duration Time,
                                      std::function<void()> OnLifted) {
  RateLimit_ = std::move(Text);
  LimitTimer_.expires_after(Time);
  LimitTimer_.async_wait(
      [this, OnLifted = std::move(OnLifted)](asio::error_code Failure) {
        if (Failure)
          return;
        RateLimit_.reset();
        OnLifted();
      });
}

void CrashableServer::startIncarnation() {
  ++Incarnations_;
  auto Made = HttpListener::create(Context_, Address_, *this);
  if (isError(Made))
    throw std::runtime_error(toString(errorOf(Made)));
  Listener_ = takeValue(std::move(Made));
  auto const Born = static_cast<std::int64_t>(1700000000000 + Incarnations_);
  Store_.put("servers", id(), serverJson(Address_, "ready", Born, 1));
}

void CrashableServer::stop() {
  RestartTimer_.cancel();
  LimitTimer_.cancel();
  if (Listener_)
    Listener_->stopAccepting();
}

void CrashableServer::crash() {
  setRateLimit(std::nullopt);
  Listener_->stopAccepting();
  Listener_.reset();
  for (auto const &Exchange : std::exchange(Running_, {}))
    Exchange->abort();
  RestartTimer_.expires_after(Timings_.Downtime_);
  RestartTimer_.async_wait([this](asio::error_code Failure) {
    if (Failure)
      return;
    Store_.remove("servers", id());
    startIncarnation();
  });
}

void CrashableServer::onRequest(std::shared_ptr<Exchange> Exchange,
                                ReceivedRequest Request) {
  // Connections to a previous incarnation are aborted on their next use.
  if (isDown())
    return Exchange->abort();
  auto const &Fields = Request.Head_.Fields_;
  AnswerHead Head{200, {}};
  Head.Fields_.add("X-Attempt-Id", std::string(Fields.valueOr("X-Attempt-Id")));
  if (Fields.valueOr("X-Expect-Instance") != id()) {
    Head.Status_ = 421;
    Head.Fields_.add("X-Not-Executed", "1");
    return Exchange->answer(Head, "");
  }
  Arrivals_.push_back(readClock());
  if (RateLimit_)
    Head.Fields_.add("Server-Limit", *RateLimit_);
  if (RunListener_)
    RunListener_(std::string(Fields.valueOr("X-Attempt-Id")), Number_);
  if (isCrashing(Request.Head_)) {
    ++CrashingRequests_;
    Exchange->abort();
    return crash();
  }
  Head.Fields_.add("X-Server-Stamp", "stamp");
  work(Exchange, Head);
}

bool CrashableServer::isCrashing(RequestHead const &Head) {
  return Head.Target_.find("deadly") != std::string::npos ||
         Head.Fields_.valueOr("X-Prompt-Prefix").find("dead:") !=
             std::string_view::npos;
}

void CrashableServer::work(std::shared_ptr<Exchange> const &Exchange,
                           AnswerHead const &Head) {
  Running_.insert(Exchange);
  auto const Timer = std::make_shared<asio::steady_timer>(Context_);
  Timer->expires_after(Timings_.Work_);
  Timer->async_wait([this, Timer, Exchange, Head](asio::error_code Failure) {
    if (!Failure && Running_.erase(Exchange) > 0)
      Exchange->answer(Head,
                       expectedAnswer(Head.Fields_.valueOr("X-Attempt-Id")));
  });
}

} // namespace laburnum::entry_process
