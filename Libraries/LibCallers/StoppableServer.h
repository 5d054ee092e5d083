#pragma once

#include <LibCallers/ConnectionStream.h>

#include <httplib.h>

#include <map>
#include <mutex>

namespace laburnum {

/// The HTTP library's server with two changes: a stop does not wait for idle
/// connections, which the library keeps until their timeout, and the backlog is
/// long enough for bursts of new connections.
class StoppableServer : public httplib::Server {
public:
  /// Must be called before listening.
  void setHeadBounds(HeadBounds const &Bounds) { HeadBounds_ = Bounds; }

  /// Raises the backlog above the library's 5. Must be called between binding
  /// and listening.
  void enlargeBacklog();

  /// Accepts no more connections; closes idle ones at once and the others after
  /// their current request.
  void close();

  /// Ends the connection that the calling thread serves after its answer, since
  /// the rest of its body would be read as further requests.
  void closeAfterAnswer();

private:
  enum class Use { Idle, Busy };

  bool process_and_close_socket(socket_t Socket) override;
  /// False when the server is closed and the connection must end.
  bool setUse(socket_t Socket, Use Now);
  void release(socket_t Socket);
  RequestBody bodyAfter(httplib::Request const &Head) const;

  HeadBounds HeadBounds_;

  std::mutex Mutex_; ///< Guards all members below.
  std::map<socket_t, Use> Open_;
  bool IsClosed_ = false;
};

} // namespace laburnum
