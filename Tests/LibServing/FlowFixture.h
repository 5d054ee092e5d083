#pragma once

#include <LibServing/RequestFlow.h>

#include <chrono>
#include <string>
#include <vector>

namespace laburnum::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline TimePoint at(Duration SinceStart) {
  return TimePoint(seconds(1000)) + SinceStart;
}

/// Chooses the first of Servers_ that the query does not exclude, and records
/// the chosen and released servers.
class ScriptedChooser : public ServerChooser {
public:
  Result<BackendServer> choose(RouteQuery const &Query, TimePoint) override {
    for (auto const &Name : Servers_) {
      ServerId const Id(Name);
      if (Query.Excluded_.contains(Id))
        continue;
      Chosen_.push_back(Name);
      BackendServer Server;
      Server.Id_ = Id;
      return Server;
    }
    return Error{ErrorKind::Unavailable, "no server", "send it again later"};
  }

  void release(ServerId const &Server, RouteQuery const &,
               AttemptEvidence const &, TimePoint) override {
    Released_.push_back(Server.text());
  }

  std::vector<std::string> Servers_{"a", "b", "c"};
  std::vector<std::string> Chosen_;
  std::vector<std::string> Released_;
};

class ScriptedAllowance : public RetryAllowance {
public:
  void countRequest(ServiceName const &, TimePoint) override { ++Requests_; }
  bool tryTake(ServiceName const &, TimePoint) override {
    if (RemainingRetries_ == 0)
      return false;
    --RemainingRetries_;
    return true;
  }

  int RemainingRetries_ = 10;
  int Requests_ = 0;
};

inline CallerRequest plainRequest(Idempotence Kind) {
  CallerRequest Request;
  Request.Id_ = RequestId("r");
  Request.Account_ = AccountName("account");
  Request.Service_ = ServiceName("service");
  Request.Idempotence_ = Kind;
  Request.Key_ = IdempotencyKey("key");
  Request.Deadline_ = at(seconds(10));
  return Request;
}

inline CallerRequest streamRequest(std::uint32_t MaxTokens) {
  auto Request = plainRequest(Idempotence::Idempotent);
  Request.Kind_ = ServiceKind::Model;
  Request.MaxTokens_ = MaxTokens;
  return Request;
}

template <typename Kind>
std::vector<Kind> all(std::vector<flow::Action> const &Actions) {
  std::vector<Kind> Found;
  for (auto const &Action : Actions)
    if (auto const *One = std::get_if<Kind>(&Action))
      Found.push_back(*One);
  return Found;
}

/// Drives one flow and records its actions.
struct FlowRun {
  explicit FlowRun(CallerRequest Request)
      : Flow_(std::move(Request), Chooser_, Allowance_) {}

  std::vector<flow::Action> handle(flow::Event const &Event,
                                   Duration SinceStart = Duration::zero()) {
    auto Actions = Flow_.handle(Event, at(SinceStart));
    All_.insert(All_.end(), Actions.begin(), Actions.end());
    return Actions;
  }

  std::vector<flow::Action> endPlain(AttemptNumber Attempt,
                                     AttemptProgress Progress, AttemptEnd End,
                                     std::int32_t Status = 0) {
    PlainResult Result;
    Result.Evidence_ = {Progress, End, Status, ""};
    Result.Answer_ = {Status, "text/plain", "body"};
    return handle(flow::PlainAttemptEnded{Attempt, Result});
  }

  std::vector<flow::Action> endStream(AttemptNumber Attempt,
                                      AttemptProgress Progress, AttemptEnd End,
                                      std::uint32_t Computed = 0) {
    CompletionResult Result;
    Result.Evidence_ = {Progress, End, 200, ""};
    Result.ComputedTokens_ = Computed;
    return handle(flow::CompletionAttemptEnded{Attempt, Result});
  }

  void piece(AttemptNumber Attempt, std::uint32_t Offset,
             Duration SinceStart = Duration::zero()) {
    handle(flow::PieceReceived{{Attempt, Offset, std::to_string(Offset)}},
           SinceStart);
  }

  std::vector<std::uint32_t> sentOffsets() const {
    std::vector<std::uint32_t> Offsets;
    for (auto const &One : all<flow::SendToken>(All_))
      Offsets.push_back(One.Offset_);
    return Offsets;
  }

  std::size_t finishes() const {
    return all<flow::FinishPlain>(All_).size() +
           all<flow::FinishCompletion>(All_).size() +
           all<flow::FinishFailed>(All_).size();
  }

  ScriptedChooser Chooser_;
  ScriptedAllowance Allowance_;
  RequestFlow Flow_;
  std::vector<flow::Action> All_;
};

} // namespace laburnum::test
