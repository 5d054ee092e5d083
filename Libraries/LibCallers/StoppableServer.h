#pragma once

#include <LibCallers/ConnectionStream.h>

#include <httplib.h>

#include <map>
#include <mutex>

namespace laburnum {

/// The library's server, except that a stop does not wait for idle
/// connections, which the library keeps until their timeout, and that a burst
/// of new connections fits in the backlog.
class StoppableServer : public httplib::Server {
public:
  /// Before listening.
  void setHeadBounds(HeadBounds const &Bounds) { HeadBounds_ = Bounds; }

  /// Between binding and listening: widens the library's backlog of 5.
  void widenBacklog();

  /// Accepts no more, ends idle connections at once and the others after their
  /// present request.
  void close();

private:
  enum class Use { Idle, Busy };

  bool process_and_close_socket(socket_t Socket) override;
  /// False when the server is closed: the connection is to end.
  bool setUse(socket_t Socket, Use Now);
  void release(socket_t Socket);
  BodyAhead bodyAfter(httplib::Request const &Head) const;

  HeadBounds HeadBounds_;

  std::mutex Mutex_; ///< Guards all below.
  std::map<socket_t, Use> Open_;
  bool IsClosed_ = false;
};

} // namespace laburnum
