#include "Readers.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <utility>

namespace laburnum::hostile_clients {

namespace {

/// The kernel takes more of an answer the larger these are.
constexpr int ReceiveBufferBytes = 1;
constexpr int SegmentBytes = 536;

} // namespace

class Readers::Client : public std::enable_shared_from_this<Client> {
public:
  Client(asio::io_context &Context, asio::ip::tcp::endpoint const &Server)
      : Socket_(Context) {
    Socket_.open(Server.protocol());
    Socket_.set_option(
        asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    ::setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
                 &SegmentBytes, sizeof(SegmentBytes));
    Socket_.connect(Server);
  }

  void ask(std::string Request) {
    Request_ = std::move(Request);
    asio::async_write(Socket_, asio::buffer(Request_),
                      [Self = shared_from_this()](asio::error_code Failure,
                                                  std::size_t /*Count*/) {
                        if (!Failure)
                          Self->awaitAnswer();
                      });
  }

  bool isOpen() {
    tcp_info Info{};
    socklen_t Size = sizeof(Info);
    return ::getsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                        &Size) == 0 &&
           Info.tcpi_state == TCP_ESTABLISHED;
  }

private:
  void awaitAnswer() {
    Socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [Self = shared_from_this()](asio::error_code /*End*/) {});
  }

  asio::ip::tcp::socket Socket_;
  std::string Request_;
};

Readers::Readers(Endpoint const &Server, std::size_t Clients) {
  asio::ip::tcp::endpoint const Address(asio::ip::make_address(Server.Host_),
                                        Server.Port_);
  for (std::size_t Number = 0; Number < Clients; ++Number)
    Clients_.push_back(std::make_shared<Client>(Context_, Address));
}

Readers::~Readers() = default;

void Readers::ask(std::function<std::string(std::size_t)> const &Request) {
  Context_.restart();
  for (std::size_t Number = 0; Number < Clients_.size(); ++Number)
    if (Clients_[Number]->isOpen())
      Clients_[Number]->ask(Request(Number));
  Context_.run();
}

std::size_t Readers::open() const {
  return static_cast<std::size_t>(
      std::count_if(Clients_.begin(), Clients_.end(),
                    [](auto const &Each) { return Each->isOpen(); }));
}

} // namespace laburnum::hostile_clients
