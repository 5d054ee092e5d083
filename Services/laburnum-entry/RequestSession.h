#pragma once

#include "TrafficPlane.h"

#include <LibTraffic/ContentRetryGate.h>
#include <LibTraffic/ExchangeFlow.h>

#include <memory>
#include <optional>

namespace laburnum {

/// Handles one client request: performs the actions of its ExchangeFlow.
class RequestSession : public ClientObserver,
                       public AnswerObserver,
                       public std::enable_shared_from_this<RequestSession> {
public:
  RequestSession(TrafficPlane &Plane, std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request, exchange::FlowContext FlowContext);

  void start();
  void onAdmission(AdmissionOutcome const &Outcome);
  /// This instance has lost its links to the service's servers.
  void onLinkCut(ServiceName const &Service);
  /// The same while the request waits for a server.
  void onLinkCutInQueue(ServiceName const &Service);
  ~RequestSession() override;

  void onClientLeft() override;
  HeadDecision onHead(AnswerHead const &Head) override;
  void onBody(std::string_view Bytes) override;
  void onComplete() override;
  void onOtherProcess(std::string const &Process) override;
  void onUnidentified(DecideUnidentified const &Decide) override;
  void onFailed(AttemptEvidence const &Evidence) override;

private:
  /// How the request ended for its client.
  enum class Outcome { Answered, Refused, Failed, Aborted, ClientLeft };

  void handle(exchange::Event const &Event);
  void carryOut(std::vector<exchange::Action> const &Actions);
  void on(exchange::FindOrigin const &Action);
  void on(exchange::RequestServer const &Action);
  void on(exchange::CancelServerRequest const &Action);
  void on(exchange::SendAttempt const &Action);
  void on(exchange::CancelAttempt const &Action);
  void on(exchange::RememberOrigin const &Action);
  void on(exchange::CountRun const &Action);
  void on(exchange::SendCompleteAnswer const &Action);
  void on(exchange::BeginStream const &Action);
  void on(exchange::RelayEvents const &Action);
  void on(exchange::FinishStream const &Action);
  void on(exchange::AbortStream const &Action);
  void on(exchange::Refuse const &Action);

  /// Priority by configuration; 0 is served first.
  std::int32_t rank() const;
  /// Whether clients may take the stream up at any instance.
  bool isResumable() const;
  void enqueue(exchange::RequestServer const &Action);
  /// Keeps the request to the versions that a roll-out leaves it.
  void chooseVersion(ServerQuery &Query);
  VersionTally::Key tallyKey() const;
  /// Count the attempt for its server's software version.
  void tallySent();
  void tallyEnd(AttemptHealth Health);
  /// Nothing unless the service's requests are placed by work.
  std::optional<std::uint32_t> priorityAtServer() const;
  bool isDirect() const { return Access_ == ServerAccess::Direct; }
  /// Passes the request to another instance. Returns whether there is one.
  bool passToPeer(std::set<ServerId> const &Excluded);
  /// Ends a request that no instance can serve, as far as this one knows.
  void refuseCutOff();
  void endAttempt(AttemptHealth Health, AttemptEvidence const &Evidence);
  /// Updates what this answer adds to TrafficPlane::BufferedBytes_.
  void countBuffered();
  /// Counts the attempt's work at its server.
  void beginWork();
  /// The server has read the prompt.
  void onPromptRead();
  void endWork();
  void armStallTimer();
  void clearStall();
  void finish(Outcome Outcome, std::int32_t Status, std::string_view Reason);
  void count(Outcome Outcome);
  void log(Outcome Outcome, std::int32_t Status, std::string_view Reason);
  static std::string_view outcomeName(Outcome Outcome);

  TrafficPlane &Plane_;
  std::shared_ptr<Exchange> Exchange_;
  ReceivedRequest Request_;
  exchange::FlowContext FlowContext_;
  ContentRetryGate RetryGate_;
  ExchangeFlow Flow_;
  asio::steady_timer DeadlineTimer_;
  asio::steady_timer StallTimer_;
  bool IsStalled_ = false; ///< The roster counts the attempt as slow.
  /// Work of the current attempt, where its service is placed by work.
  std::optional<RequestWork> Work_;
  EngineBacklog::Progress WorkProgress_ = EngineBacklog::Progress::Unread;
  /// At the server when the last attempt was sent, this request's included.
  std::optional<std::uint64_t> UnreadTokens_;
  std::uint64_t Ticket_ = 0;
  std::optional<ServerRecord> Server_; ///< Server of the current attempt.
  ServerAccess Access_ = ServerAccess::Direct;
  bool IsAwaited_ = false;        ///< The link monitor counts the attempt.
  std::uint32_t Unconnected_ = 0; ///< Attempts without a connection.
  ServiceName QueuedService_;
  std::set<ServerId> Excluded_; ///< Incarnations.
  bool IsUnidentified_ = false; ///< The process of the current attempt.
  std::optional<ServerAnswer> Answer_;
  TimePoint AnswerBegunAt_{}; ///< Of the current attempt.
  std::shared_ptr<OutboundCall> Call_;
  std::string LastServer_;
  std::int64_t LastIncarnationStart_ = 0; ///< Unix milliseconds.
  std::string LastSoftwareVersion_;
  std::optional<AnswerFraming> LastFraming_; ///< Of the last server's answer.
  bool IsLastIdentified_ = false; ///< The last server's process was known.
  TimePoint AttemptSentAt_{};
  TimePoint FirstSentAt_{};
  TimePoint FirstAnswerAt_{};
  std::int32_t RelayedStatus_ = 0;
  std::optional<Duration> RefusalRetryAfter_;
  std::string BegunStream_; ///< First attempt of the stream that was relayed.
  std::size_t BufferedBytes_ = 0;
  bool IsFinished_ = false;
};

} // namespace laburnum
