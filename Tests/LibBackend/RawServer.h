#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace laburnum {

/// A TCP server on a free loopback port that serves its connections in sequence
/// with a script.
class RawServer {
public:
  using Socket = asio::ip::tcp::socket;
  using Script = std::function<void(Socket &)>;

  explicit RawServer(Script PlayScript)
      : Script_(std::move(PlayScript)),
        Acceptor_(Context_, {asio::ip::address_v4::loopback(), 0}),
        Port_(Acceptor_.local_endpoint().port()), Thread_([this] { run(); }) {}

  ~RawServer() {
    IsStopping_ = true;
    asio::error_code Ignored;
    Socket Wake(Context_);
    Wake.connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
  }

  std::uint16_t port() const { return Port_; }
  int connections() const { return Connections_; }

  /// Reads one request, including a body of Content-Length bytes.
  static std::string readRequest(Socket &Peer) {
    std::string Text;
    asio::error_code Failed;
    auto const Head =
        asio::read_until(Peer, asio::dynamic_buffer(Text), "\r\n\r\n", Failed);
    auto const Field = Text.find("Content-Length: ");
    if (Failed || Field == std::string::npos)
      return Text;
    auto const Size = Head + std::stoul(Text.substr(Field + 16));
    if (Size > Text.size())
      asio::read(Peer, asio::dynamic_buffer(Text),
                 asio::transfer_exactly(Size - Text.size()), Failed);
    return Text;
  }

  static void send(Socket &Peer, std::string const &Text) {
    asio::error_code Ignored;
    asio::write(Peer, asio::buffer(Text), Ignored);
  }

  /// Returns when the client has closed its side.
  static void waitForClose(Socket &Peer) {
    std::string Text;
    asio::error_code Ignored;
    asio::read(Peer, asio::dynamic_buffer(Text), Ignored);
  }

private:
  void run() {
    while (true) {
      asio::error_code Failed;
      Socket Peer = Acceptor_.accept(Failed);
      if (IsStopping_ || Failed)
        return;
      ++Connections_;
      Script_(Peer);
    }
  }

  Script const Script_;
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t const Port_;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<int> Connections_ = 0;
  std::thread Thread_;
};

} // namespace laburnum
