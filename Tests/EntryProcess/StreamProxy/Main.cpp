#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/signal_set.hpp>
#include <asio/write.hpp>
#include <cxxopts.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <memory>
#include <set>

namespace {

using asio::ip::tcp;

class StreamProxy;

/// A client's connection and the one to the server. The end of either ends both
/// in order, also where it was a reset.
class Link : public std::enable_shared_from_this<Link> {
public:
  Link(StreamProxy &Proxy, tcp::socket Client, tcp::socket Server)
      : Proxy_(Proxy), Client_(std::move(Client)), Server_(std::move(Server)) {}

  void start(tcp::endpoint const &Server) {
    Server_.async_connect(
        Server, [Self = shared_from_this()](asio::error_code End) {
          if (End)
            return Self->end();
          Self->Server_.set_option(tcp::no_delay(true));
          Self->Client_.set_option(tcp::no_delay(true));
          Self->forward(Self->Client_, Self->Server_, Self->FromClient_);
          Self->forward(Self->Server_, Self->Client_, Self->FromServer_);
        });
  }
  void end();

private:
  using Buffer = std::array<char, 16384>;

  void forward(tcp::socket &From, tcp::socket &To, Buffer &Bytes) {
    From.async_read_some(
        asio::buffer(Bytes), [this, Self = shared_from_this(), &From, &To,
                              &Bytes](asio::error_code End, std::size_t Size) {
          if (End)
            return end();
          asio::async_write(To, asio::buffer(Bytes.data(), Size),
                            [this, Self, &From, &To,
                             &Bytes](asio::error_code End, std::size_t) {
                              End ? end() : forward(From, To, Bytes);
                            });
        });
  }

  StreamProxy &Proxy_;
  tcp::socket Client_;
  tcp::socket Server_;
  Buffer FromClient_{};
  Buffer FromServer_{};
};

/// Forwards connections to a server. SIGUSR1 ends all that are open.
class StreamProxy {
public:
  StreamProxy(asio::io_context &Context, std::uint16_t ServerPort)
      : Server_(asio::ip::address_v4::loopback(), ServerPort),
        Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
        Signals_(Context, SIGUSR1) {
    accept();
    awaitCut();
    std::cout << "listening port=" << Acceptor_.local_endpoint().port()
              << std::endl;
  }

  void remove(std::shared_ptr<Link> const &Ended) { Links_.erase(Ended); }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](asio::error_code Failure, tcp::socket Socket) {
          if (Failure)
            return;
          auto const Accepted = std::make_shared<Link>(
              *this, std::move(Socket), tcp::socket(Acceptor_.get_executor()));
          Links_.insert(Accepted);
          Accepted->start(Server_);
          accept();
        });
  }

  void awaitCut() {
    Signals_.async_wait([this](asio::error_code Failure, int) {
      if (Failure)
        return;
      for (auto const &Open : std::set(Links_))
        Open->end();
      std::cout << "cut" << std::endl;
      awaitCut();
    });
  }

  tcp::endpoint const Server_;
  tcp::acceptor Acceptor_;
  asio::signal_set Signals_;
  std::set<std::shared_ptr<Link>> Links_;
};

void Link::end() {
  for (auto *const Socket : {&Client_, &Server_}) {
    asio::error_code Ignored;
    Socket->shutdown(tcp::socket::shutdown_send, Ignored);
    Socket->close(Ignored);
  }
  Proxy_.remove(shared_from_this());
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("stream-proxy",
                           "Stands between instances and a server in tests");
  Options.add_options()("to", "port of the server on loopback",
                        cxxopts::value<std::uint16_t>());
  try {
    auto const Given = Options.parse(Count, Arguments);
    asio::io_context Context(1);
    StreamProxy const Proxy(Context, Given["to"].as<std::uint16_t>());
    Context.run();
    return 0;
  } catch (std::exception const &Failure) {
    std::cerr << Failure.what() << '\n';
    return 2;
  }
}
