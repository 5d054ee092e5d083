#pragma once

#include <LibHttp/HttpListener.h>

#include <list>
#include <string>
#include <vector>

namespace laburnum::entry_process {

enum class RunnerMood {
  Normal,
  Leaving,   ///< Says in its answers that it leaves.
  Pausing,   ///< Turns requests away and asks for a pause.
  Full,      ///< Says of each request that it has not run.
  Hanging,   ///< Reads requests and answers none.
  BreaksOff, ///< Resets the connection once the request is read.
  Another,   ///< Another one has its address: it is not who is expected.
};

/// A backend server, by the published protocol. Used on the thread of its
/// io_context.
class RunnerStandin : public HttpService {
public:
  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    Requests_.push_back(Request);
    AnswerHead Head{200, {}};
    Head.Fields_.add("X-Attempt-Id", std::string(Request.Head_.Fields_.valueOr(
                                         "X-Attempt-Id")));
    switch (Mood_) {
    case RunnerMood::Leaving:
      Head.Fields_.add("Server-Leaving", "1");
      [[fallthrough]];
    case RunnerMood::Normal:
      Head.Fields_.add("X-Server-Stamp", "stamp");
      Head.Fields_.add("X-Instance-Load", "1,0,8");
      return Exchange->answer(Head, "the whole answer");
    case RunnerMood::Pausing:
      Head.Fields_.add("Retry-After", "30");
      [[fallthrough]];
    case RunnerMood::Full:
    case RunnerMood::Another:
      Head.Status_ = Mood_ == RunnerMood::Another ? 421 : 503;
      Head.Fields_.add("X-Not-Executed", "1");
      return Exchange->answer(Head, "");
    case RunnerMood::Hanging:
      return Unanswered_.push_back(std::move(Exchange));
    case RunnerMood::BreaksOff:
      return Exchange->abort();
    }
  }

  RunnerMood Mood_ = RunnerMood::Normal;
  std::vector<ReceivedRequest> Requests_;

private:
  std::list<std::shared_ptr<Exchange>> Unanswered_;
};

} // namespace laburnum::entry_process
