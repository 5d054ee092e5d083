#pragma once

#include <httplib.h>

namespace laburnum {

/// An HTTP server whose handlers can cut their connection before or within an
/// answer, and which closes idle connections at once when it is stopped.
class AbortableServer final : public httplib::Server {
public:
  /// Called by a handler, on its thread: nothing more is written to the
  /// connection, and it is closed with a reset.
  static void abortConnection();

  /// Called after binding: lets a burst of connections wait to be accepted.
  /// The library's own backlog of 5 drops the others for a second.
  void raiseBacklog();

private:
  bool process_and_close_socket(socket_t Socket) override;
  bool waitForRequest(socket_t Socket) const;
};

} // namespace laburnum
