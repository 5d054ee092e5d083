#pragma once

#include <LibHttp/HttpListener.h>

#include <list>
#include <string>
#include <vector>

namespace laburnum::entry_process {

enum class ServerMode {
  Normal,
  Leaving,          ///< Announces in its answers that it is leaving.
  RequestsBackoff,  ///< Rejects requests and requests a backoff.
  Overloaded,       ///< Rejects each request as not run.
  Failing,          ///< Runs each request and reports a failure.
  Hanging,          ///< Reads requests and never answers.
  ResetsConnection, ///< Resets the connection after reading the request.
  Misdirected,      ///< Answers 421 as another server that now has the address.
};

/// Stand-in for a backend server that speaks the published protocol. Used on
/// the thread of its io_context.
class ServerStandin : public HttpService {
public:
  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    Requests_.push_back(Request);
    AnswerHead Head{200, {}};
    Head.Fields_.add("X-Attempt-Id", std::string(Request.Head_.Fields_.valueOr(
                                         "X-Attempt-Id")));
    switch (Mode_) {
    case ServerMode::Leaving:
      Head.Fields_.add("Server-Leaving", "1");
      [[fallthrough]];
    case ServerMode::Normal:
      Head.Fields_.add("X-Server-Stamp", "stamp");
      Head.Fields_.add("X-Instance-Load", "1,0,8");
      return Exchange->answer(Head, "the whole answer");
    case ServerMode::RequestsBackoff:
      Head.Fields_.add("Retry-After", "30");
      [[fallthrough]];
    case ServerMode::Overloaded:
    case ServerMode::Misdirected:
      Head.Status_ = Mode_ == ServerMode::Misdirected ? 421 : 503;
      Head.Fields_.add("X-Not-Executed", "1");
      return Exchange->answer(Head, "");
    case ServerMode::Failing:
      Head.Status_ = 500;
      Head.Fields_.add("X-Server-Stamp", "stamp");
      return Exchange->answer(Head, "failed");
    case ServerMode::Hanging:
      return Unanswered_.push_back(std::move(Exchange));
    case ServerMode::ResetsConnection:
      return Exchange->abort();
    }
  }

  ServerMode Mode_ = ServerMode::Normal;
  std::vector<ReceivedRequest> Requests_;

private:
  std::list<std::shared_ptr<Exchange>> Unanswered_;
};

} // namespace laburnum::entry_process
