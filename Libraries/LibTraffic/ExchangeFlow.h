#pragma once

#include <LibModel/AttemptEvidence.h>
#include <LibTraffic/EventStreamCutter.h>
#include <LibTraffic/TrafficRequest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace exchange {

/// A server has room for the request.
struct ServerAssigned {
  ServerRecord Server_;
};
/// No server will have room in time.
struct NoServer {
  std::string Reason_;
  std::optional<Duration> RetryAfter_;
};
struct HeadArrived {
  ServerAnswer Answer_;
};
struct BodyArrived {
  std::string Bytes_;
};
struct AnswerCompleted {};
struct AttemptFailed {
  AttemptEvidence Evidence_;
};
struct ClientLeft {};
struct TimePassed {};

using Event =
    std::variant<ServerAssigned, NoServer, HeadArrived, BodyArrived,
                 AnswerCompleted, AttemptFailed, ClientLeft, TimePassed>;

/// Ask for a server other than these. Answered by ServerAssigned or NoServer.
struct AskForServer {
  std::set<ServerId> Excluded_;

  auto operator<=>(AskForServer const &) const = default;
};
/// The request no longer waits for a server.
struct StopAsking {
  auto operator<=>(StopAsking const &) const = default;
};
struct SendAttempt {
  ServerRecord Server_;
  AttemptFacts Facts_;

  auto operator<=>(SendAttempt const &) const = default;
};
/// End the attempt's connection, which tells the server to stop.
struct CancelAttempt {
  auto operator<=>(CancelAttempt const &) const = default;
};
/// The server has begun the request: counts for the account's usage.
struct CountRun {
  auto operator<=>(CountRun const &) const = default;
};
struct AnswerWhole {
  AnswerHead Head_;
  std::string Body_;

  auto operator<=>(AnswerWhole const &) const = default;
};
struct BeginStream {
  AnswerHead Head_;

  auto operator<=>(BeginStream const &) const = default;
};
struct RelayEvents {
  std::string Bytes_;

  auto operator<=>(RelayEvents const &) const = default;
};
struct FinishStream {
  auto operator<=>(FinishStream const &) const = default;
};
/// Break the client's connection off.
struct AbortStream {
  std::string Reason_;

  auto operator<=>(AbortStream const &) const = default;
};
/// Answer with a status of this system's own.
struct Refuse {
  std::int32_t Status_ = 503;
  std::string Reason_;
  std::optional<Duration> RetryAfter_;

  auto operator<=>(Refuse const &) const = default;
};

using Action = std::variant<AskForServer, StopAsking, SendAttempt,
                            CancelAttempt, CountRun, AnswerWhole, BeginStream,
                            RelayEvents, FinishStream, AbortStream, Refuse>;

/// Allows retries at a service.
class RetryPermit {
public:
  virtual ~RetryPermit() = default;
  virtual bool tryTake(ServiceName const &Service, TimePoint Now) = 0;
};

/// What a flow is about.
struct Subject {
  std::shared_ptr<RouteTable const> Table_;
  Route const *Route_ = nullptr; ///< In Table_.
  ServiceName Service_;
  AccountName Account_;
  RequestFacts Facts_;
  std::uint64_t Fingerprint_ = 0; ///< See contentFingerprint().
  TimePoint Expiry_;              ///< When the final answer is due.
};

} // namespace exchange

/// Takes one client's request to its answer: which server next, what a failed
/// attempt allows, and what the client is told. A request is never sent again
/// when it may have run and may not be repeated. 503 is said only when no
/// server has begun it.
class ExchangeFlow {
public:
  ExchangeFlow(exchange::Subject Subject, exchange::RetryPermit &Permit);

  std::vector<exchange::Action> start(TimePoint Now);
  std::vector<exchange::Action> handle(exchange::Event const &Event,
                                       TimePoint Now);
  bool isOver() const { return State_ == State::Over; }
  std::uint32_t attempts() const { return Sent_; }

private:
  enum class State { Waiting, Attempting, Over };

  void on(exchange::ServerAssigned const &Event);
  void on(exchange::NoServer const &Event);
  void on(exchange::HeadArrived const &Event);
  void on(exchange::BodyArrived const &Event);
  void on(exchange::AnswerCompleted const &Event);
  void on(exchange::AttemptFailed const &Event);
  void on(exchange::ClientLeft const &Event);
  void on(exchange::TimePassed const &Event);

  /// The attempt has ended without an answer that can be given. MayHaveRun
  /// tells whether the server may have begun it.
  void endAttempt(bool MayHaveRun, std::string const &Reason);
  /// The attempt's connection could not be made.
  void endUnreached(std::string const &Reason);
  void goOnOrFail(bool MayTryAgain, std::string const &Reason);
  bool hasTimeAndTries() const;
  bool mayTryAgain(bool MayHaveRun);
  void fail(std::string const &Reason);
  void refuse(std::int32_t Status, std::string const &Reason,
              std::optional<Duration> RetryAfter);
  void relay(std::vector<StreamEvent> Events);
  void completeStream();
  void countRun();
  bool isStream() const {
    return Subject_.Route_->Form_ == AnswerForm::EventStream;
  }

  exchange::Subject Subject_;
  exchange::RetryPermit &Permit_;
  State State_ = State::Waiting;
  TimePoint Now_{};
  std::vector<exchange::Action> Actions_;
  std::set<ServerId> Tried_;
  std::uint32_t Sent_ = 0;
  std::uint32_t Runs_ = 0; ///< Attempts that may have begun.
  /// Of the attempt under way.
  std::optional<ServerAnswer> Answer_;
  std::string Body_;
  EventStreamCutter Cutter_;
  /// Of the answer as the client has it.
  bool HasBegunStream_ = false;
  bool HasCountedRun_ = false;
  std::optional<std::uint64_t> LastEventId_;
  /// A server's own failure, given to the client when no other try is left.
  std::optional<exchange::AnswerWhole> LastFailure_;
};

} // namespace laburnum
