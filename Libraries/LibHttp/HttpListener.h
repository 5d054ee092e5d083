#pragma once

#include <LibHttp/Connection.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/IntakeBudget.h>
#include <LibHttp/MessageReader.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace laburnum {

/// Limits on the size of a client's messages and on its idle and read times.
struct ClientBounds {
  MessageBounds Message_;
  Duration RequestTimeout_ =
      std::chrono::seconds(5); ///< Each of head and body.
  /// Between requests, as clients see it.
  Duration IdleTimeout_ = std::chrono::seconds(15);
  /// Added to it: a client's idle time begins when the last answer has arrived,
  /// whose bytes may stay unacknowledged for this long.
  Duration AnswerTransit_ = Connection::SilenceLimit;

  auto operator<=>(ClientBounds const &) const = default;
};

/// Why a connection was closed that waited for its client's next request.
enum class IdleClose { Drain, IdleTimeout };

/// A client's bytes that arrived when their connection had been closed.
struct CrossedClose {
  IdleClose Why_ = IdleClose::Drain;
  Duration Idle_{};  ///< From the last answer to the close.
  Duration Since_{}; ///< From the close to the arrival.

  auto operator<=>(CrossedClose const &) const = default;
};

/// Handles the requests that a listener receives.
class HttpService {
public:
  virtual ~HttpService() = default;
  /// The limits for the next request.
  virtual ClientBounds bounds() const = 0;
  virtual void onRequest(std::shared_ptr<Exchange> Exchange,
                         ReceivedRequest Request) = 0;
  /// A request was rejected before it reached onRequest().
  virtual void onRejected(MessageFault /*Fault*/) {}
  /// A request was refused, or its connection closed, as clients together took
  /// more than the limits allow.
  virtual void onGivenUp() {}
  /// A client's request and the close of its connection have crossed.
  virtual void onCrossedClose(CrossedClose const & /*Crossed*/) {}
};

class HttpServerConnection;

/// Accepts connections and serves the requests of each connection in sequence.
/// Used only on the thread of the io_context.
class HttpListener : public std::enable_shared_from_this<HttpListener> {
public:
  /// Service must outlive the listener. Listeners of one thread may share a
  /// budget; without one the listener has its own. Errors: Unavailable when the
  /// port cannot be bound now, for example as another socket holds it,
  /// PermissionDenied when this process may not bind it, InvalidArgument for a
  /// host that is not an IP address.
  static Result<std::shared_ptr<HttpListener>>
  create(asio::io_context &Context, Endpoint const &Address,
         HttpService &Service, std::shared_ptr<IntakeBudget> Budget = nullptr);

  Endpoint localEndpoint() const;
  /// Accepts those in the accept queue and no further connections.
  void stopAccepting();
  /// Closes idle connections at once and every other one after its current
  /// answer.
  void drainConnections();
  std::size_t openConnections() const { return Connections_.size(); }
  /// The number of connections on which a request is being read or answered,
  /// including those that are closed once their answer is written.
  std::size_t busyConnections() const;
  /// Aborts the connections whose clients have not read for the longest time
  /// until at most MaxBytes are unwritten on those of all listeners that share
  /// the budget. Returns their number.
  std::size_t limitUnwritten(std::size_t MaxBytes);

private:
  friend class HttpServerConnection;

  HttpListener(asio::io_context &Context, HttpService &Service,
               std::shared_ptr<IntakeBudget> Budget);
  void accept();
  void open(asio::ip::tcp::socket Socket);
  /// If there are as many connections as allowed, resets one that is closing,
  /// or else the one that has waited for its client for the longest time.
  /// Returns whether there is room for another one.
  bool makeRoom();
  void retryLater();
  void addClosing(std::shared_ptr<Connection> const &Closed);
  void forgetReleased();
  /// Returns the connections with unwritten bytes.
  std::vector<std::shared_ptr<Connection>> unwritten() const;

  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  HttpService &Service_;
  std::shared_ptr<IntakeBudget> Budget_;
  std::set<std::shared_ptr<HttpServerConnection>> Connections_;
  /// Closed by this side, but not yet by the client, from the oldest on.
  std::vector<std::weak_ptr<Connection>> Closing_;
  bool IsDraining_ = false;
};

} // namespace laburnum
