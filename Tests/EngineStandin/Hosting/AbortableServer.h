#pragma once

#include <httplib.h>

namespace laburnum {

/// An HTTP server whose handlers can reset their connection before or within an
/// answer, and which closes idle connections at once when stopped.
class AbortableServer final : public httplib::Server {
public:
  /// Called by a handler on its thread. Writes nothing more to the connection
  /// and closes it with a reset.
  static void abortConnection();

  /// Raises the listen backlog, after binding. With the library's backlog of 5,
  /// the other connections of a burst are dropped and retried after a second.
  void raiseBacklog();

private:
  bool process_and_close_socket(socket_t Socket) override;
  bool waitForRequest(socket_t Socket) const;
};

} // namespace laburnum
