#include "LocalDeployment.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace laburnum::processes;

namespace {

/// A deployment whose only instance is started while one of its ports is held,
/// as by a process that has not ended yet.
class WaitingDaemon {
public:
  explicit WaitingDaemon(std::uint16_t DaemonProcess::*Port) {
    process().signal(SIGKILL);
    process().awaitEnd();
    auto const Number = Deployment_.instance(0).*Port;
    Held_.open(asio::ip::tcp::v4());
    Held_.set_option(asio::socket_base::reuse_address(true));
    Held_.bind({asio::ip::make_address("127.0.0.1"), Number});
    Held_.listen();
    Deployment_.launchAgain(0);
    process().awaitLine("port_held=127.0.0.1:" + std::to_string(Number));
  }

  Process &process() { return *Deployment_.instance(0).Process_; }
  void release() { Held_.close(); }
  int status() { return Deployment_.status(0).Status_; }

private:
  LocalDeployment Deployment_{1};
  asio::io_context Context_;
  asio::ip::tcp::acceptor Held_{Context_};
};

} // namespace

TEST_CASE("a daemon whose port is held serves once it is free") {
  WaitingDaemon Daemon(GENERATE(&DaemonProcess::Callers_,
                                &DaemonProcess::Operators_,
                                &DaemonProcess::Peers_));
  CHECK_FALSE(Daemon.process().hasEnded());
  Daemon.release();
  Daemon.process().awaitLine("state=serving");
  REQUIRE(await([&] { return Daemon.status() == 200; }));
}

TEST_CASE("a daemon that waits for a port ends on SIGTERM") {
  WaitingDaemon Daemon(&DaemonProcess::Peers_);
  Daemon.process().signal(SIGTERM);
  CHECK(Daemon.process().awaitEnd() == 0);
}
