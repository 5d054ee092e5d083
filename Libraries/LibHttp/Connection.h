#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/Endpoint.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace laburnum {

/// How the peer ended a connection.
enum class ConnectionEnd {
  Orderly, ///< It closed its side after its last byte.
  Broken,  ///< It was reset, or the network gave it up.
};

/// Is told what happens on a Connection, on the thread of its io_context.
class ConnectionObserver {
public:
  virtual ~ConnectionObserver() = default;
  virtual void onBytes(std::string_view Bytes) = 0;
  /// Everything handed to write() so far has left.
  virtual void onWritten() {}
  /// Called once at most, and not after close() or abort().
  virtual void onEnd(ConnectionEnd End) = 0;
};

/// A TCP connection whose reading side is always watched, so that a peer that
/// leaves is noticed while nothing is expected from it. A peer that is silent
/// below TCP is given up by the kernel's probes within SilenceLimit. Used on
/// one thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  /// How long bytes may stay unacknowledged, and how long an idle peer may
  /// leave probes unanswered: within the three seconds after which the
  /// platform expects an instance to be in touch again.
  static constexpr Duration SilenceLimit = std::chrono::seconds(3);

  static std::shared_ptr<Connection> create(asio::ip::tcp::socket Socket);

  /// Starts to read. The observer is kept until the connection has ended.
  void start(std::shared_ptr<ConnectionObserver> Observer);
  /// Replaces the observer of an open connection.
  void observeBy(std::shared_ptr<ConnectionObserver> Observer) {
    Observer_ = std::move(Observer);
  }

  void write(std::string Bytes);
  /// Bytes handed to write() that have not left yet.
  std::size_t unwrittenBytes() const { return Unwritten_; }

  /// Ends the connection in an orderly way: what was written still leaves,
  /// and the peer gets a second to close first.
  void close();
  /// Ends it at once with a reset, so that an answer cut short cannot look
  /// complete.
  void abort();
  bool isOpen() const { return State_ == State::Open; }

private:
  enum class State { Open, Closing, Closed };

  explicit Connection(asio::ip::tcp::socket Socket);
  void waitForBytes();
  void readAvailable();
  void writeNext();
  void finishClosing();
  void end(ConnectionEnd End);
  void release();

  asio::ip::tcp::socket Socket_;
  asio::steady_timer CloseTimer_;
  std::shared_ptr<ConnectionObserver> Observer_;
  std::deque<std::string> Writes_;
  std::size_t Unwritten_ = 0;
  State State_ = State::Open;
  bool IsWaiting_ = false;
  bool IsWriting_ = false;
};

/// Sets what every connection of this system uses: no delay, and an early end
/// for a peer that is silent.
void configureSocket(asio::ip::tcp::socket &Socket);

/// The endpoint as Asio's type; InvalidArgument when it is no IP address.
Result<asio::ip::tcp::endpoint> resolve(Endpoint const &Address);

} // namespace laburnum
