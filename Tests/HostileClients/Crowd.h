#pragma once

#include <LibModel/Endpoint.h>

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::hostile_clients {

/// How a client sends its body.
struct BodyForm {
  std::string Head_;  ///< Of the request, with what it says of the body.
  std::string Piece_; ///< Sent again and again, whole chunks if chunked.
  std::size_t Pieces_ = 0;
  std::string Last_; ///< Sent after the pieces.
};

/// Returns a request whose body ends Missing bytes before its announced length.
BodyForm announcedBody(std::string const &Head, std::size_t Length,
                       std::size_t Missing);
/// Returns a request with a body of chunks, without the last one.
BodyForm chunkedBody(std::string const &Head, std::size_t ChunkBytes,
                     std::size_t Chunks);

/// Clients that send as much as they may, each on a connection that it keeps
/// open until the crowd is destroyed.
class Crowd {
public:
  Crowd(Endpoint const &Server, std::size_t Clients, BodyForm const &Form);
  ~Crowd();
  Crowd(Crowd const &) = delete;
  Crowd &operator=(Crowd const &) = delete;

  /// Sends until each client has sent everything or lost its connection.
  void send();

private:
  class Client;

  asio::io_context Context_{1};
  std::vector<std::shared_ptr<Client>> Clients_;
};

} // namespace laburnum::hostile_clients
