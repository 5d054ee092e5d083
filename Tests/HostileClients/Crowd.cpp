#include "Crowd.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <cstdio>
#include <utility>

namespace laburnum::hostile_clients {

namespace {

constexpr std::size_t PieceBytes = 65536;

} // namespace

BodyForm announcedBody(std::string const &Head, std::size_t Length,
                       std::size_t Missing) {
  auto const Sent = Length - Missing;
  return {Head + "Content-Length: " + std::to_string(Length) + "\r\n\r\n",
          std::string(PieceBytes, 'x'), Sent / PieceBytes,
          std::string(Sent % PieceBytes, 'x')};
}

BodyForm chunkedBody(std::string const &Head, std::size_t ChunkBytes,
                     std::size_t Chunks) {
  char Size[20] = {};
  std::snprintf(Size, sizeof(Size), "%zx\r\n", ChunkBytes);
  auto const Chunk = Size + std::string(ChunkBytes, 'x') + "\r\n";
  std::string Piece;
  std::size_t ChunksInPiece = 0;
  do {
    Piece += Chunk;
    ++ChunksInPiece;
  } while (Piece.size() < PieceBytes && ChunksInPiece < Chunks);
  return {Head + "Transfer-Encoding: chunked\r\n\r\n", Piece,
          Chunks / ChunksInPiece, ""};
}

class Crowd::Client : public std::enable_shared_from_this<Client> {
public:
  Client(asio::io_context &Context, BodyForm const &Form)
      : Socket_(Context), Form_(Form) {}

  void start(asio::ip::tcp::endpoint const &Server) {
    Socket_.async_connect(
        Server, [Self = shared_from_this()](asio::error_code Failure) {
          if (!Failure)
            Self->write(Self->Form_.Head_);
        });
  }

private:
  void write(std::string const &Bytes) {
    asio::async_write(Socket_, asio::buffer(Bytes),
                      [Self = shared_from_this()](asio::error_code Failure,
                                                  std::size_t /*Count*/) {
                        if (!Failure)
                          Self->writeNext();
                      });
  }

  void writeNext() {
    if (Sent_ < Form_.Pieces_) {
      ++Sent_;
      write(Form_.Piece_);
    } else if (!std::exchange(HasSentLast_, true)) {
      write(Form_.Last_);
    }
  }

  asio::ip::tcp::socket Socket_;
  BodyForm Form_;
  std::size_t Sent_ = 0;
  bool HasSentLast_ = false;
};

Crowd::Crowd(Endpoint const &Server, std::size_t Clients,
             BodyForm const &Form) {
  asio::ip::tcp::endpoint const Address(asio::ip::make_address(Server.Host_),
                                        Server.Port_);
  for (std::size_t Number = 0; Number < Clients; ++Number)
    Clients_.push_back(std::make_shared<Client>(Context_, Form));
  for (auto const &Client : Clients_)
    Client->start(Address);
}

Crowd::~Crowd() = default;

void Crowd::send() { Context_.run(); }

} // namespace laburnum::hostile_clients
