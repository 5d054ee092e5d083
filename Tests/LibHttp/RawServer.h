#pragma once

#include "Loopback.h"

#include <asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace laburnum::test {

/// A server that answers with the bytes that the test writes.
struct RawServer {
  explicit RawServer(asio::io_context &Context)
      : Acceptor_(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  void accept() {
    Acceptor_.async_accept(
        [this](asio::error_code Failure, asio::ip::tcp::socket Socket) {
          if (Failure)
            return;
          Peers_.push_back(std::make_unique<RawPeer>(std::move(Socket)));
          accept();
        });
  }
  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor_.local_endpoint().port()};
  }

  asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::unique_ptr<RawPeer>> Peers_;
};

} // namespace laburnum::test
