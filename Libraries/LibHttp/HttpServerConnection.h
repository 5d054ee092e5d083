#pragma once

#include <LibHttp/HttpListener.h>

#include <memory>
#include <string>

namespace laburnum {

/// One client's connection: reads a request, passes it to the service and
/// writes the answer. Pipelining is not supported: if the client sends more
/// bytes before the answer has ended, or before the kernel has taken all of it,
/// the connection closes after that answer. So a client has one unread answer
/// at a time.
class HttpServerConnection
    : public ConnectionObserver,
      public IntakeBudget::Holder,
      public std::enable_shared_from_this<HttpServerConnection> {
public:
  HttpServerConnection(std::shared_ptr<HttpListener> Listener,
                       std::shared_ptr<Connection> Opened);
  ~HttpServerConnection() override;

  void start();
  /// Closes the connection after the current answer, or at once when idle. A
  /// request that has arrived unread is answered first.
  void drain();
  /// Whether a request is being read or answered. An answer lasts until the
  /// kernel has taken all of it. After drain() an idle connection is still open
  /// only because its next request is unread, which counts, too.
  bool isBusy() const {
    return State_ != State::Idle || ClosesAfterAnswer_ || unwrittenBytes() > 0;
  }

  /// Whether the next bytes are to come from the client: it is idle, or its
  /// request is not whole, and nothing of it is unread.
  bool isWaitingForClient() const {
    return (State_ == State::Idle || State_ == State::Reading) &&
           Connection_->unreadBytes() == 0;
  }
  TimePoint waitingSince() const { return WaitingSince_; }
  /// Resets the connection at once.
  void abortConnection();
  /// Refuses the request that is being read.
  void giveUpRequest() override;

  void onBytes(std::string_view Bytes) override;
  void onEnd(ConnectionEnd End) override;

  /// Called by the exchange. Number identifies the request; calls for a request
  /// that is no longer the current one are ignored.
  void observe(std::uint64_t Number, std::shared_ptr<ClientObserver> Observer);
  void answer(std::uint64_t Number, AnswerHead const &Head,
              std::string_view Body);
  void beginStream(std::uint64_t Number, AnswerHead const &Head);
  void send(std::uint64_t Number, std::string_view Bytes);
  void finishStream(std::uint64_t Number);
  void abort(std::uint64_t Number);
  void holdWrites(std::uint64_t Number);
  void resumeWrites(std::uint64_t Number);
  std::size_t unwrittenBytes() const { return Connection_->unwrittenBytes(); }
  std::shared_ptr<Connection> const &connection() const { return Connection_; }

private:
  enum class State { Idle, Reading, Answering, Streaming, Ended };

  void feed(std::string_view Bytes);
  void dispatchRequest();
  void reject(MessageFault Fault);
  void sendError(std::int32_t Status, HeaderFields Fields = {});
  /// Counts what the request takes while it is read. Returns whether it may go
  /// on.
  bool chargeReading();
  void armTimer(Duration After);
  void armIdleTimer();
  TimePoint idleUntil() const;
  void onTimeout();
  /// Serves no other request to a client that has not read its answer.
  void endWithUnreadAnswer();
  void finishAnswer();
  /// Ends an idle connection. If its client's next request is unread, that is
  /// served first.
  void endIdle(IdleClose Why);
  void endConnection();
  bool isCurrent(std::uint64_t Number) const;
  ConnectionReuse reuse() const;

  std::shared_ptr<HttpListener> Listener_;
  std::shared_ptr<Connection> Connection_;
  asio::steady_timer Timer_;
  RequestReader Reader_;
  std::shared_ptr<ClientObserver> Observer_;
  TimePoint BegunAt_{};
  TimePoint WaitingSince_{}; ///< For a request, or for its first byte.
  std::uint64_t Number_ = 0; ///< Of the request being read or answered.
  State State_ = State::Idle;
  bool ClosesAfterAnswer_ = false;
  /// What the head of the last answer has told the client.
  ConnectionReuse Announced_ = ConnectionReuse::KeepOpen;
};

} // namespace laburnum
