#pragma once

#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <memory>

namespace laburnum {

/// The laburnumd process: starts all parts in order and stops them in reverse.
class Daemon {
public:
  /// Binds all listeners. The error names the listener that failed.
  static Result<std::unique_ptr<Daemon>> create(DaemonSettings Settings);
  ~Daemon();

  /// Serves requests until a requested graceful stop has completed.
  void run();

  /// Requests a graceful stop. Thread-safe; repeated calls have no effect.
  void requestStop();

private:
  class Implementation;
  explicit Daemon(std::unique_ptr<Implementation> Created);

  std::unique_ptr<Implementation> Implementation_;
};

} // namespace laburnum
