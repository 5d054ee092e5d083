#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibHttp/UnwrittenTotal.h>
#include <LibModel/Endpoint.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// How the peer ended a connection.
enum class ConnectionEnd {
  Orderly, ///< It closed its side after its last byte.
  Broken,  ///< It was reset, or the kernel timed it out.
};

/// Receives the events of a Connection, on the thread of its io_context.
class ConnectionObserver {
public:
  virtual ~ConnectionObserver() = default;
  virtual void onBytes(std::string_view Bytes) = 0;
  /// Everything passed to write() so far was handed to the kernel.
  virtual void onWritten() {}
  /// Called at most once, and not after close() or abort().
  virtual void onEnd(ConnectionEnd End) = 0;
};

/// A TCP connection that always waits for input, so that a peer's close or
/// reset is noticed even while no data is expected from it. The kernel's
/// keep-alive probes drop an unreachable peer within SilenceLimit. Not
/// thread-safe.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  /// How long sent bytes may stay unacknowledged, and how long an idle peer may
  /// leave keep-alive probes unanswered. Not above the three seconds within
  /// which the platform expects an instance to reconnect.
  static constexpr Duration SilenceLimit = std::chrono::seconds(3);

  static constexpr std::size_t MaxHeldBytes = std::size_t{64} << 10;

  /// What the connection has not written counts for Total, too.
  static std::shared_ptr<Connection>
  create(asio::ip::tcp::socket Socket,
         std::shared_ptr<UnwrittenTotal> Total = nullptr);

  /// Starts reading. Holds the observer until the connection has ended.
  void start(std::shared_ptr<ConnectionObserver> Observer);
  /// Replaces the observer of an open connection.
  void setObserver(std::shared_ptr<ConnectionObserver> Observer) {
    Observer_ = std::move(Observer);
  }

  void write(std::string Bytes);
  /// Keeps what is passed to write() from now on, also what precedes close(),
  /// until resumeWrites() or until it exceeds MaxHeldBytes.
  void holdWrites();
  void resumeWrites();
  /// Bytes passed to write() that the kernel has not taken yet.
  std::size_t unwrittenBytes() const {
    return State_ == State::Closed ? 0 : Unwritten_;
  }
  /// Bytes of the peer that the kernel holds and the observer did not get yet.
  std::size_t unreadBytes() const;
  /// Whether the peer has yet to take bytes that were passed to write(). False
  /// if the kernel does not tell.
  bool hasUntakenBytes();
  /// When the oldest of these bytes were passed to write().
  TimePoint writeBegunAt() const { return WriteBegunAt_; }

  /// Shuts the connection down gracefully: pending writes are still sent, and
  /// the peer gets a second to close its side.
  void close();
  /// Like close(), for a connection whose peer sends the next message. One that
  /// crosses the close stays unread: OnCrossed is called, and the reset of the
  /// connection shows the peer that its message was not processed.
  void closeIdle(std::function<void()> OnCrossed);
  /// Resets the connection at once, so that a truncated answer cannot be taken
  /// for a complete one.
  void abort();
  /// Like abort(), but the observer is told later, as if the peer had reset the
  /// connection.
  void abortForMemory();
  bool isOpen() const { return State_ == State::Open; }
  /// Whether the socket is closed, too.
  bool isReleased() const { return State_ == State::Closed; }
  /// Keeps the socket once the peer has closed its side, so that what follows
  /// shows whether it has taken what was written.
  void keepAfterEnd() { IsKeptAfterEnd_ = true; }
  /// Whether the peer has closed its side without having taken everything that
  /// was written: bytes are left, or it has reset the connection since.
  bool hasPeerRefusedBytes();
  /// Whether the peer has closed its side, though bytes that it sent before may
  /// still be unread. False if the kernel does not tell.
  bool hasPeerClosed();

private:
  enum class State { Open, Closing, Ended, Closed };

  Connection(asio::ip::tcp::socket Socket,
             std::shared_ptr<UnwrittenTotal> Total);
  void waitForBytes();
  void readAvailable();
  void writeNext();
  /// Updates what this connection adds to Total_.
  void count();
  void finishClosing();
  void end(ConnectionEnd End);
  void release();

  asio::ip::tcp::socket Socket_;
  asio::steady_timer CloseTimer_;
  std::shared_ptr<ConnectionObserver> Observer_;
  std::function<void()> OnCrossed_; ///< Set by closeIdle().
  bool LeavesUnread_ = false;       ///< After closeIdle().
  std::deque<std::string> Writes_;
  std::size_t Unwritten_ = 0;
  std::shared_ptr<UnwrittenTotal> Total_;
  std::size_t Counted_ = 0; ///< Of this connection in Total_.
  TimePoint WriteBegunAt_{};
  State State_ = State::Open;
  bool IsWaiting_ = false;
  bool IsWriting_ = false;
  bool AreWritesHeld_ = false;
  bool IsKeptAfterEnd_ = false;
  bool IsBroken_ = false;
};

/// Sets the socket options that every connection uses: TCP_NODELAY, and
/// keep-alive probes and a user timeout that detect an unreachable peer within
/// Connection::SilenceLimit.
void configureSocket(asio::ip::tcp::socket &Socket);

/// Converts the endpoint to Asio's type; InvalidArgument unless the host is an
/// IP address.
Result<asio::ip::tcp::endpoint> resolve(Endpoint const &Address);

} // namespace laburnum
