#pragma once

#include <LibHttp/Connection.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/MessageReader.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace laburnum {

/// Bounds on what clients may send and how long they may take.
struct ClientBounds {
  MessageBounds Message_;
  Duration RequestTimeout_ = std::chrono::seconds(5); ///< For head or body.
  Duration IdleTimeout_ = std::chrono::seconds(15);   ///< Between requests.

  auto operator<=>(ClientBounds const &) const = default;
};

/// What a listener serves.
class HttpService {
public:
  virtual ~HttpService() = default;
  /// The bounds in force for the next request.
  virtual ClientBounds bounds() const = 0;
  virtual void onRequest(std::shared_ptr<Exchange> Exchange,
                         ReceivedRequest Request) = 0;
  /// A request was refused before it reached onRequest().
  virtual void onRejected(MessageFault /*Fault*/) {}
};

class HttpServerConnection;

/// Accepts connections and serves the requests on each of them, one after the
/// other. Used on the io_context's one thread.
class HttpListener : public std::enable_shared_from_this<HttpListener> {
public:
  /// Service outlives the listener. Unavailable when the port cannot be bound.
  static Result<std::shared_ptr<HttpListener>> create(asio::io_context &Context,
                                                      Endpoint const &Address,
                                                      HttpService &Service);

  Endpoint localEndpoint() const;
  /// Takes no further connections; those that wait to be accepted are reset.
  void stopAccepting();
  /// From now on each connection ends with its next answer, and idle ones
  /// end at once.
  void drainConnections();
  std::size_t openConnections() const { return Connections_.size(); }
  /// Connections on which a request is being read or answered.
  std::size_t busyConnections() const;

private:
  friend class HttpServerConnection;

  HttpListener(asio::io_context &Context, HttpService &Service);
  void accept();
  void retryLater();

  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  HttpService &Service_;
  std::set<std::shared_ptr<HttpServerConnection>> Connections_;
  bool IsDraining_ = false;
};

} // namespace laburnum
