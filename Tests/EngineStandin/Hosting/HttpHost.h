#pragma once

#include <EngineStandin/Hosting/AbortableServer.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace laburnum {

/// A stand-in's HTTP server and its thread. Handlers are set on server() before
/// start().
class HttpHost {
public:
  /// Threads limits the number of connections served at once.
  explicit HttpHost(std::size_t Threads);
  ~HttpHost();
  HttpHost(HttpHost const &) = delete;
  HttpHost &operator=(HttpHost const &) = delete;

  httplib::Server &server() { return Server_; }

  /// Listens on the loopback address; Port 0 selects any free port. Returns the
  /// port, or 0 if it could not be bound.
  std::uint16_t start(std::uint16_t Port);

  /// Stops the server and waits until the requests in progress are answered.
  void stop();

private:
  AbortableServer Server_;
  std::thread Thread_;
};

/// Blocks SIGTERM and SIGINT in this thread and all threads started later. Must
/// be called before any thread is started.
void blockTerminationSignals();

/// Prints the listening address and waits for SIGTERM or SIGINT.
void serveUntilTermination(std::uint16_t Port);

} // namespace laburnum
