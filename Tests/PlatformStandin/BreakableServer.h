#pragma once

#include <httplib.h>

#include <mutex>
#include <set>

namespace laburnum {

/// An HTTP server whose handlers can close a connection without a response, and
/// which does not wait for idle connections when it stops.
class BreakableServer : public httplib::Server {
public:
  /// Called by a handler: drops its response and closes the connection.
  static void dropAnswer();

  /// Called between binding and listening. Enlarges the listen backlog: with
  /// the library's backlog of 5, further simultaneous connections are dropped
  /// and retried after a second.
  void raiseBacklog();

  /// Stops accepting, lets calls in progress finish and closes idle
  /// connections. The caller first ends the waits of the handlers.
  void close();

private:
  bool process_and_close_socket(socket_t Socket) override;
  bool admit(socket_t Socket);
  void release(socket_t Socket);

  std::mutex Mutex_; ///< Guards all members below.
  std::set<socket_t> OpenSockets_;
  bool IsClosed_ = false;
};

} // namespace laburnum
