#pragma once

#include "OutboundFixture.h"

#include <LibModel/RunState.h>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

namespace laburnum::test {

inline constexpr char const *Question = "GET /who ";
inline constexpr char const *Run = "GET /run ";

/// Processes answer "process" and their name.
class NamedProcess : public ProcessIdentifier {
public:
  RequestHead request() const override { return {"GET", "/who", {}}; }
  std::optional<std::string> identify(AnswerHead const &Head,
                                      std::string const &Body) const override {
    std::string const Prefix = "process ";
    if (Head.Status_ != 200 || !Body.starts_with(Prefix))
      return std::nullopt;
    return Body.substr(Prefix.size());
  }
};

inline std::string answer(std::string const &Status, std::string const &Body) {
  return "HTTP/1.1 " + Status + "\r\nKeep-Alive: timeout=3600\r\n" +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string identification(std::string const &Process) {
  return answer("200 OK", "process " + Process);
}

inline std::size_t countIn(std::string const &Text, std::string const &Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

/// A pool of connections to a raw server that is asked which process it is.
struct IdentificationFixture : OutboundFixture {
  IdentificationFixture() {
    Pool_ = std::make_shared<OutboundPool>(Context_, Server_.endpoint(),
                                           &Identifier_);
  }
  std::shared_ptr<AnswerRecorder>
  sendFor(std::optional<std::string> const &Process) {
    auto Observer = std::make_shared<AnswerRecorder>();
    startFor(Process, Observer);
    return Observer;
  }
  void startFor(std::optional<std::string> const &Process,
                std::shared_ptr<AnswerObserver> const &Observer) {
    OutboundRequest Request;
    Request.Head_ = {"GET", "/run", {}};
    Request.Process_ = Process;
    Request.ProcessCheck_ = Check_;
    Call_ = Pool_->start(Request, Observer);
  }
  RawPeer &peer() { return *Server_.Peers_.back(); }
  /// Waits until the newest connection, the one of this number, has received
  /// these bytes so many times.
  bool awaitBytes(std::string const &Bytes, std::size_t Connections = 1,
                  std::size_t Times = 1) {
    return runUntil(Context_, [&] {
      return Server_.Peers_.size() == Connections &&
             countIn(peer().Received_, Bytes) == Times;
    });
  }
  /// Runs what is ready.
  void settle() {
    Context_.restart();
    Context_.poll();
  }
  /// Runs what comes until this time is over.
  void passTime(Duration Time) {
    REQUIRE(runUntil(
        Context_, [End = readClock() + Time] { return readClock() >= End; }));
  }
  bool awaitFailure(AnswerRecorder const &Observer) {
    return runUntil(Context_, [&] { return Observer.Evidence_.has_value(); });
  }
  bool awaitAnswer(AnswerRecorder const &Observer) {
    return runUntil(Context_, [&] { return Observer.IsComplete_; });
  }
  /// Lets the newest connection identify itself and answer one request.
  void serveFor(std::string const &Process) {
    auto const Observer = sendFor(Process);
    REQUIRE(awaitBytes(Question));
    peer().write(identification(Process));
    REQUIRE(awaitBytes(Run));
    peer().write(answer("200 OK", "ok"));
    REQUIRE(awaitAnswer(*Observer));
  }
  /// Checks that the call has failed, that the request has certainly not run,
  /// and that its bytes never came.
  void checkNotRun(AnswerRecorder const &Observer) {
    REQUIRE(awaitFailure(Observer));
    CHECK(Observer.Evidence_->Progress_ == AttemptProgress::Connected);
    CHECK(runStateOf(*Observer.Evidence_) == RunState::NotRun);
    CHECK_FALSE(Observer.IsComplete_);
    settle();
    for (auto const &Peer : Server_.Peers_)
      CHECK(countIn(Peer->Received_, Run) == 0);
  }

  NamedProcess Identifier_;
  ProcessCheck Check_ = ProcessCheck::BeforeRequest;
};

} // namespace laburnum::test
