#pragma once

#include <LibModel/Endpoint.h>

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::hostile_clients {

/// Clients that ask and do not read, each on a connection that it keeps open
/// until the crowd is destroyed. The kernel takes little of their answers.
class Readers {
public:
  Readers(Endpoint const &Server, std::size_t Clients);
  ~Readers();
  Readers(Readers const &) = delete;
  Readers &operator=(Readers const &) = delete;

  /// Sends one request from each client, and waits until each answer has begun
  /// or its connection has ended. Request is called with the client's number.
  void ask(std::function<std::string(std::size_t)> const &Request);
  /// Returns how many connections are still open.
  std::size_t open() const;

private:
  class Client;

  asio::io_context Context_{1};
  std::vector<std::shared_ptr<Client>> Clients_;
};

} // namespace laburnum::hostile_clients
