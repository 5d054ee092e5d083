#pragma once

#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/ObservedConventions.h>
#include <LibTraffic/ServerRoster.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace laburnum::test {

struct TestRetryGate : exchange::RetryGate {
  bool tryTake(ServiceName const &, TimePoint) override {
    ++Calls_;
    return IsOpen_;
  }
  bool IsOpen_ = true;
  int Calls_ = 0;
};

inline Route routeOf(Repeatability Repeat, AnswerForm Form) {
  Route Made;
  Made.Repeatability_ = Repeat;
  Made.Form_ = Form;
  Made.MaxAttempts_ = 2;
  return Made;
}

inline ServerAnswer answer(AnswerClaim Claim, std::int32_t Status) {
  ServerAnswer Made;
  Made.Claim_ = Claim;
  Made.Head_.Status_ = Status;
  Made.Head_.Fields_.add("Signature", "of the first");
  return Made;
}

inline ServerRecord server(std::string const &Name) {
  ServerRecord Made;
  Made.Id_ = ServerId(Name);
  return Made;
}

inline exchange::AttemptFailed failure(AttemptProgress Progress) {
  return {{Progress, AttemptEnd::ConnectionFailed, 0, "connection reset"}};
}

/// Drives one flow and stores its last actions.
struct Harness {
  explicit Harness(
      Route Given, RequestMetadata Metadata = {},
      exchange::RequestSource Source = exchange::RequestSource::Client,
      Duration ServerDeadlineMargin = {})
      : Route_(std::move(Given)) {
    exchange::FlowContext FlowContext;
    FlowContext.Metadata_ = std::move(Metadata);
    FlowContext.Route_ = &Route_;
    FlowContext.Expiry_ = Now_ + std::chrono::seconds(2);
    FlowContext.Source_ = Source;
    FlowContext.ServerDeadlineMargin_ = ServerDeadlineMargin;
    Flow_.emplace(FlowContext, RetryGate_, Conventions_);
    Last_ = Flow_->start(Now_);
  }

  void handle(exchange::Event const &Given) {
    Last_ = Flow_->handle(Given, Now_);
  }
  void attempt(std::string const &Name) {
    handle(exchange::ServerAssigned{server(Name)});
  }
  void complete(ServerAnswer const &Given, std::string const &Body = {}) {
    handle(exchange::HeadArrived{Given});
    if (!Body.empty())
      handle(exchange::BodyArrived{Body});
    handle(exchange::AnswerCompleted{});
  }
  template <typename Kind> Kind const *find() const {
    for (auto const &Action : Last_)
      if (auto const *const Found = std::get_if<Kind>(&Action))
        return Found;
    return nullptr;
  }

  Route Route_;
  TestRetryGate RetryGate_;
  ObservedConventions Conventions_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::optional<ExchangeFlow> Flow_;
  std::vector<exchange::Action> Last_;
};

inline auto const Signed = answer(AnswerClaim::Succeeded, 200);

} // namespace laburnum::test
