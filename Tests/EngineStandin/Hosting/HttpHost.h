#pragma once

#include <EngineStandin/Hosting/AbortableServer.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace laburnum {

/// An HTTP server of a stand-in, with its thread. Handlers are set on server()
/// before start().
class HttpHost {
public:
  /// Threads bounds the connections that are served at once.
  explicit HttpHost(std::size_t Threads);
  ~HttpHost();
  HttpHost(HttpHost const &) = delete;
  HttpHost &operator=(HttpHost const &) = delete;

  httplib::Server &server() { return Server_; }

  /// Listens on the loopback address; 0 takes any free port. The port, or 0
  /// when it could not be bound.
  std::uint16_t start(std::uint16_t Port);

  /// Returns when the requests in progress are answered.
  void stop();

private:
  AbortableServer Server_;
  std::thread Thread_;
};

/// Keeps SIGTERM and SIGINT from all threads started later. Called first.
void blockEndSignals();

/// Prints where the program listens and returns at SIGTERM or SIGINT.
void serveUntilEndSignal(std::uint16_t Port);

} // namespace laburnum
