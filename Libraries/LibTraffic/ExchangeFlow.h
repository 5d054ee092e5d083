#pragma once

#include <LibGuard/RequestFingerprints.h>
#include <LibModel/AttemptEvidence.h>
#include <LibTraffic/AnswerEnd.h>
#include <LibTraffic/EventStreamSplitter.h>
#include <LibTraffic/StreamConventions.h>
#include <LibTraffic/StreamOrigins.h>
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

/// A server with free capacity was assigned to the request.
struct ServerAssigned {
  ServerRecord Server_;
  ServerAccess Access_ = ServerAccess::Direct;
};
/// No server can accept the request in time.
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
struct AnswerCompleted {
  AnswerEnd End_ = AnswerEnd::Marked;
};
struct AttemptFailed {
  AttemptEvidence Evidence_;
};
struct ClientLeft {};
struct TimePassed {};
/// The origin of the stream that the client takes up, or why it is not known.
struct OriginFound {
  std::optional<StreamOrigin> Origin_;
  std::string Reason_;
};

using Event = std::variant<ServerAssigned, NoServer, HeadArrived, BodyArrived,
                           AnswerCompleted, AttemptFailed, ClientLeft,
                           TimePassed, OriginFound>;

/// Requests the origin of the stream that the client takes up. The result is
/// OriginFound.
struct FindOrigin {
  auto operator<=>(FindOrigin const &) const = default;
};
/// Requests a server that is not in Excluded_. The result is ServerAssigned or
/// NoServer.
struct RequestServer {
  std::set<ServerId> Excluded_; ///< Incarnations.
  /// Set if the server has to continue a stream.
  std::optional<StreamOrigin> Origin_ = std::nullopt;

  auto operator<=>(RequestServer const &) const = default;
};
/// Cancels the pending request for a server.
struct CancelServerRequest {
  auto operator<=>(CancelServerRequest const &) const = default;
};
struct SendAttempt {
  ServerRecord Server_;
  AttemptMetadata Metadata_;
  ServerAccess Access_ = ServerAccess::Direct;

  auto operator<=>(SendAttempt const &) const = default;
};
/// Closes the attempt's connection, which cancels it at the server.
struct CancelAttempt {
  /// What is wrong with the server's answer, or nothing.
  std::string Reason_;

  auto operator<=>(CancelAttempt const &) const = default;
};
/// The first event of the stream in this answer is about to be relayed.
struct RememberOrigin {
  BegunStream Stream_;

  auto operator<=>(RememberOrigin const &) const = default;
};
/// Counts the request for the account's usage, as a server has executed it.
struct CountRun {
  auto operator<=>(CountRun const &) const = default;
};
struct SendCompleteAnswer {
  AnswerHead Head_;
  std::string Body_;

  auto operator<=>(SendCompleteAnswer const &) const = default;
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
  /// Unmarked if nothing but the end of the connection shows the stream's end.
  AnswerEnd End_ = AnswerEnd::Marked;

  auto operator<=>(FinishStream const &) const = default;
};
/// Closes the client's connection before the stream is complete.
struct AbortStream {
  std::string Reason_;

  auto operator<=>(AbortStream const &) const = default;
};
/// Answers with a status that this system generates.
struct Refuse {
  std::int32_t Status_ = 503;
  std::string Reason_;
  std::optional<Duration> RetryAfter_;

  auto operator<=>(Refuse const &) const = default;
};

using Action =
    std::variant<FindOrigin, RequestServer, CancelServerRequest, SendAttempt,
                 CancelAttempt, RememberOrigin, CountRun, SendCompleteAnswer,
                 BeginStream, RelayEvents, FinishStream, AbortStream, Refuse>;

/// Decides whether a retry to a service is allowed.
class RetryGate {
public:
  virtual ~RetryGate() = default;
  virtual bool tryTake(ServiceName const &Service, TimePoint Now) = 0;
};

/// Who sent a request.
enum class RequestSource {
  Client,
  Peer, ///< Another entry instance, which reaches no server.
};

/// What a request is for, as its client has sent it.
struct RequestTarget {
  std::string Host_;
  std::string Path_; ///< With the query.

  auto operator<=>(RequestTarget const &) const = default;
};

/// The client's request and its route, account and deadline.
struct FlowContext {
  std::shared_ptr<RouteTable const> Table_;
  Route const *Route_ = nullptr; ///< Owned by Table_.
  ServiceName Service_;
  AccountName Account_;
  RequestMetadata Metadata_;
  RequestFingerprints Fingerprints_;
  TimePoint Expiry_; ///< Deadline of the complete answer.
  RequestSource Source_ = RequestSource::Client;
  RequestTarget Target_ = {};
  /// By how much a server's deadline is later than Expiry_. What a server ends
  /// before Expiry_ it has not stopped at its own deadline.
  Duration ServerDeadlineMargin_{};
};

} // namespace exchange

/// State machine of one client request: chooses servers, retries failed
/// attempts and answers the client. A request that may have run is retried only
/// if its route permits repetition. Status 503 is sent only if no server has
/// begun the request. A stream is continued only by servers of the service and
/// the software version that began it, within an answer or where the client
/// takes it up.
class ExchangeFlow {
public:
  ExchangeFlow(exchange::FlowContext FlowContext, exchange::RetryGate &Gate,
               exchange::StreamConventions &Conventions);

  std::vector<exchange::Action> start(TimePoint Now);
  std::vector<exchange::Action> handle(exchange::Event const &Event,
                                       TimePoint Now);
  bool isOver() const { return State_ == State::Over; }
  std::uint32_t attempts() const { return Sent_; }
  /// What began the client's stream, once that is known.
  std::optional<StreamOrigin> const &origin() const { return Origin_; }
  /// Bytes of the current attempt's answer that are kept until it is complete.
  std::size_t bufferedBytes() const {
    return State_ == State::Attempting
               ? Body_.size() + HeldBackData_.size() + Splitter_.bufferedBytes()
               : 0;
  }
  /// Whether the current attempt's stream has begun an event and not ended it.
  bool isInsideEvent() const {
    return State_ == State::Attempting && Splitter_.isInsideEvent();
  }

private:
  enum class State { FindingOrigin, Waiting, Attempting, Over };

  void on(exchange::ServerAssigned const &Event);
  void on(exchange::NoServer const &Event);
  void on(exchange::HeadArrived const &Event);
  void on(exchange::BodyArrived const &Event);
  void on(exchange::AnswerCompleted const &Event);
  void on(exchange::AttemptFailed const &Event);
  void on(exchange::ClientLeft const &Event);
  void on(exchange::TimePassed const &Event);
  void on(exchange::OriginFound const &Event);

  /// Ends an attempt without a usable answer. MayHaveRun tells whether the
  /// server may have begun the request.
  void endAttempt(bool MayHaveRun, std::string const &Reason);
  /// Cancels an attempt whose server has begun the request.
  void cancelAttempt(std::string const &Reason);
  /// Ends an attempt before the request was sent.
  void endUnconnectedAttempt(std::string const &Reason);
  void retryOrFail(bool MayRetry, std::string const &Reason);
  /// How many servers may run the request on behalf of this flow.
  std::uint32_t maxRuns() const;
  bool hasTimeAndAttempts() const;
  bool mayRetry(bool MayHaveRun);
  void fail(std::string const &Reason);
  void refuse(std::int32_t Status, std::string const &Reason,
              std::optional<Duration> RetryAfter);
  /// Relays the events up to one that is wrong.
  void processEvents(std::vector<StreamEvent> Events);
  /// Sends bytes of the stream to the client, which begins with the first.
  void relayBytes(std::string Bytes);
  /// What writes the current attempt's answer.
  StreamOrigin const &writer() const;
  /// Whether to relay an event without an identifier only once the next one
  /// shows that the server has not spoiled it.
  bool mustHoldBack(StreamEvent const &Event) const;
  /// Returns what is wrong with the place of an event in the stream, or
  /// nothing. IsFirst tells whether it is the first one of its server.
  std::string faultOf(StreamEvent const &Event, bool IsFirst);
  /// Whether the event may be the first one of a continuation.
  bool goesOnAt(StreamEvent const &First) const;
  void learnFrom(StreamEvent const &Event, bool IsFirst);
  /// Whether the server may have stopped by now because of the deadline that it
  /// was given. Before that deadline, nothing makes a server stop in order.
  bool mayHaveStoppedAtDeadline() const;
  void endStream(exchange::AnswerEnd End);
  /// Asks another server to go on, which has nothing to add if the stream is
  /// whole. Returns whether that is possible.
  bool confirmEnd();
  /// Ends a stream of whose end no other server could be asked.
  void endUnconfirmed();
  /// Whether the client can get the rest of the stream with another request.
  bool mayBeTakenUp() const;
  /// Whether the client has taken the stream up and no server has gone on.
  bool hasNothingToAdd() const;
  void completeStream(exchange::AnswerEnd End);
  void countRun();
  void rememberOrigin(StreamOrigin const &Origin);
  /// Whether another instance passes the stream on that does not state which
  /// part of it the client has.
  bool mayHideProgress() const;
  bool isThroughPeer() const { return Access_ == ServerAccess::ThroughPeer; }
  /// The attempt that began the stream. Empty if the client does not name it.
  std::string const &firstAttemptId() const;
  bool isStream() const {
    return Context_.Route_->Form_ == AnswerForm::EventStream;
  }

  exchange::FlowContext Context_;
  exchange::RetryGate &RetryGate_;
  exchange::StreamConventions &Conventions_;
  State State_ = State::Waiting;
  TimePoint Now_{};
  std::vector<exchange::Action> Actions_;
  std::set<ServerId> Tried_; ///< Incarnations.
  std::uint32_t Sent_ = 0;
  std::uint32_t Runs_ = 0; ///< Attempts that may have run.
  /// The last retry was not allowed by the budget.
  bool IsBudgetSpent_ = false;
  /// State of the current attempt.
  StreamOrigin AttemptOrigin_; ///< What its server would begin.
  ServerAccess Access_ = ServerAccess::Direct;
  std::optional<ServerAnswer> Answer_;
  /// As its server was told, who may have more time than the client.
  TimePoint AttemptDeadline_{};
  /// Its server has sent an event with an identifier.
  bool HasSentEvent_ = false;
  std::string Body_;
  EventStreamSplitter Splitter_;
  /// Data without an identifier after the last event. It may be an event whose
  /// identifier the server has spoiled, so that the next one shows a gap.
  std::string HeldBackData_;
  /// State of the answer sent to the client.
  bool HasBegunStream_ = false;
  std::optional<StreamOrigin> Origin_; ///< Set once the stream has one.
  std::string StreamType_; ///< Media type of the stream that has begun.
  bool HasCountedRun_ = false;
  std::optional<std::uint64_t> LastEventId_;
  std::optional<std::size_t> LastEventHash_; ///< Set once one was relayed.
  /// The identifier that a server sent next after LastEventId_ although that
  /// looked like a gap.
  std::optional<std::uint64_t> SkippedTo_;
  /// A server has ended the stream after LastEventId_ without marking the end.
  bool IsEndUnconfirmed_ = false;
  /// Another server has gone on after such an end, or could not confirm it.
  bool IsEndDoubtful_ = false;
  /// The last failure answered by a server, sent to the client when no attempt
  /// is left.
  std::optional<exchange::SendCompleteAnswer> LastFailure_;
};

} // namespace laburnum
