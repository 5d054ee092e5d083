#pragma once

#include <httplib.h>

#include <mutex>
#include <set>

namespace laburnum {

/// An HTTP server whose handlers can close a connection without an answer, and
/// which does not wait for idle connections when it stops.
class BreakableServer : public httplib::Server {
public:
  /// Called by a handler: its answer is not sent and the connection closes.
  static void dropAnswer();

  /// Called between binding and listening: lets many connections be made at
  /// once. The library's own backlog of 5 drops the others for a second.
  void raiseBacklog();

  /// Accepts no more, lets calls in progress finish and ends idle connections.
  /// The handlers' own waits are for the caller to end first.
  void close();

private:
  bool process_and_close_socket(socket_t Socket) override;
  bool admit(socket_t Socket);
  void release(socket_t Socket);

  std::mutex Mutex_; ///< Guards all below.
  std::set<socket_t> Open_;
  bool IsClosed_ = false;
};

} // namespace laburnum
