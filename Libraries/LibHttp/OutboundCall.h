#pragma once

#include <LibHttp/AnswerWitness.h>
#include <LibHttp/Connection.h>
#include <LibHttp/MessageReader.h>
#include <LibHttp/ProcessWitness.h>
#include <LibModel/AttemptEvidence.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnum {

/// What to do with an answer whose head was received.
enum class HeadDecision {
  Take,
  /// Take the answer, and send no other request on its connection.
  TakeLast,
  /// Take the answer, whose body is not used.
  TakeHead,
  /// Both.
  TakeHeadLast,
  /// The answer belongs to an earlier request: wait for the next one.
  Skip,
};

/// Receives the events of a call. None follows after onComplete(), onFailed()
/// or cancel().
class AnswerObserver {
public:
  virtual ~AnswerObserver() = default;
  virtual HeadDecision onHead(AnswerHead const &Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onComplete() = 0;
  /// The process at the server's address is not the one that the request is
  /// for. onFailed() follows.
  virtual void onOtherProcess(std::string const & /*Process*/) {}
  /// Whether a process that does not identify itself gets the request.
  enum class UnidentifiedUse { Allowed, Refused };
  using DecideUnidentified = std::function<void(UnidentifiedUse)>;
  /// The process at the server's address does not identify itself. Decide is to
  /// be called, at any time, unless onFailed() follows because identification
  /// is required.
  virtual void onUnidentified(DecideUnidentified const &Decide) {
    Decide(UnidentifiedUse::Allowed);
  }
  virtual void onFailed(AttemptEvidence const &Evidence) = 0;
};

/// When the server has to identify itself as the process that a request is for.
enum class ProcessCheck {
  /// Another process does not get the request, nor does one that does not
  /// identify itself.
  Required,
  /// Another process does not get the request. A server that does not identify
  /// itself gets it all the same.
  BeforeRequest,
  /// Only where the server's answers end with their connections. Any process
  /// gets the request.
  AtEndOfConnection,
};

/// A request to send to a server.
struct OutboundRequest {
  RequestHead Head_; ///< Without fields that frame the body.
  std::string Body_;
  Duration ConnectTimeout_ = std::chrono::seconds(1);
  MessageBounds AnswerBounds_;
  /// The process that the request is for, by the identifier that the pool's
  /// ProcessIdentifier returns.
  std::optional<std::string> Process_ = std::nullopt;
  ProcessCheck ProcessCheck_ = ProcessCheck::BeforeRequest;

  auto operator<=>(OutboundRequest const &) const = default;
};

class OutboundPool;
class ProcessIdentifier;

/// One request in progress, with exclusive use of a connection while it lasts.
class OutboundCall : public ConnectionObserver,
                     public std::enable_shared_from_this<OutboundCall> {
public:
  OutboundCall(std::shared_ptr<OutboundPool> Pool, OutboundRequest Request,
               std::shared_ptr<AnswerObserver> Observer);

  /// Cancels the call and closes its connection, by which the server notices.
  void cancel();
  /// How far the call has got; see AttemptProgress.
  AttemptProgress progress() const { return Progress_; }
  /// Whether earlier requests were sent on the connection.
  bool isReused() const { return IsReused_; }
  /// How the end of the answer is marked, once its head was received.
  AnswerFraming framing() const { return Reader_.framing(); }
  /// Whether the process at the connection's other end has identified itself.
  bool isIdentified() const { return Process_.has_value(); }

  void onBytes(std::string_view Bytes) override;
  void onWritten() override;
  void onEnd(ConnectionEnd End) override;

private:
  friend class OutboundPool;

  void connect();
  void useConnection(std::shared_ptr<Connection> Open);
  /// Sends the request once a witness is there, if one may be needed.
  void prepareRequest();
  void sendRequest();
  bool needsIdentification() const;
  void identify();
  void onIdentification();
  /// The answer to the question identifies no process.
  void onUnidentifiable(bool IsConnectionClean);
  /// The process is not known, and asking it does not help.
  void proceedUnidentified();
  void onDecided(AnswerObserver::UnidentifiedUse Use);
  /// Whether the question may be asked once more, on another connection.
  bool mayAskAgain() const;
  /// Continues on another connection.
  void reconnect();
  void armTimer(Duration Timeout, char const *Detail);
  void takeHead();
  void deliver();
  /// Whether the answer ends with its connection, and is used only if its
  /// server's process has outlived it.
  bool needsWitness() const;
  /// Ends a call whose answer ended with its connection while the server had
  /// not taken the whole request, so that it may have broken off.
  void failUntaken();
  /// Finds out whether the process has outlived its answer.
  void verifyEnd();
  void askWitness();
  void createAnswerWitness();
  bool isAnswerOpen() const;
  void onWitness(WitnessAnswer const &Answer);
  bool isProof(WitnessAnswer const &Answer) const;
  void dropWitness();
  void complete();
  void fail(AttemptEnd End, std::string Detail);
  bool isOver() const { return !Observer_; }

  std::shared_ptr<OutboundPool> Pool_;
  OutboundRequest Request_;
  std::shared_ptr<AnswerObserver> Observer_;
  asio::ip::tcp::socket Connecting_;
  asio::steady_timer ConnectTimer_; ///< Until the request is sent.
  std::shared_ptr<Connection> Connection_;
  std::optional<std::string> Process_; ///< At the connection's other end.
  bool IsIdentifying_ = false;
  bool IsUndecided_ = false; ///< The observer has yet to decide on the process.
  std::uint32_t Questions_ = 0; ///< On new connections.
  std::string Identification_;  ///< Body of the answer that identifies it.
  AnswerReader Reader_;
  AttemptProgress Progress_ = AttemptProgress::NotConnected;
  bool IsReused_ = false;
  bool IsLast_ = false; ///< The connection is closed after the answer.
  bool HasWrittenAll_ = false;
  bool HasTakenHead_ = false;
  std::uint32_t Skipped_ = 0; ///< Skipped answers to earlier requests.
  bool IsSkipping_ = false;
  bool IsHeadOnly_ = false; ///< The body of the answer is not used.
  /// When the request was sent, the server was known to end its answers with
  /// their connections.
  bool IsEndExpected_ = false;
  std::shared_ptr<AnswerWitness> AnswerWitness_;
  std::shared_ptr<ProcessWitness> Witness_; ///< Asked after the answer's end.
  /// The witness's connection was open while the answer's was.
  bool IsWitnessEarlier_ = false;
  std::uint32_t EndQuestions_ = 0; ///< After the answer's end.
};

} // namespace laburnum
