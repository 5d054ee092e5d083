#pragma once

#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <memory>

namespace laburnum {

/// One laburnumd: all its parts, started in order and stopped in the reverse.
class Daemon {
public:
  /// Binds all listeners. Errors name the one that failed.
  static Result<std::unique_ptr<Daemon>> create(DaemonSettings Settings);
  ~Daemon();

  /// Serves until a stop was requested and carried out gracefully.
  void run();

  /// Asks for a graceful stop; called from any thread, also more than once.
  void requestStop();

private:
  class Implementation;
  explicit Daemon(std::unique_ptr<Implementation> Made);

  std::unique_ptr<Implementation> Implementation_;
};

} // namespace laburnum
