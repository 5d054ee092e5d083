#include <EngineStandin/Hosting/HttpHost.h>

#include <csignal>
#include <iostream>

namespace laburnum {

static constexpr char const *Loopback = "127.0.0.1";

HttpHost::HttpHost(std::size_t Threads) {
  Server_.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  Server_.set_tcp_nodelay(true);
}

HttpHost::~HttpHost() { stop(); }

std::uint16_t HttpHost::start(std::uint16_t Port) {
  int const Bound = Port != 0
                        ? (Server_.bind_to_port(Loopback, Port) ? Port : 0)
                        : Server_.bind_to_any_port(Loopback);
  if (Bound <= 0)
    return 0;
  Server_.raiseBacklog();
  Thread_ = std::thread([this] { Server_.listen_after_bind(); });
  while (!Server_.is_running())
    std::this_thread::yield();
  return static_cast<std::uint16_t>(Bound);
}

void HttpHost::stop() {
  if (!Thread_.joinable())
    return;
  Server_.stop();
  Thread_.join();
}

static sigset_t terminationSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void blockTerminationSignals() {
  auto const Signals = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void serveUntilTermination(std::uint16_t Port) {
  std::cout << "listening on " << Loopback << ':' << Port << std::endl;
  auto const Signals = terminationSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
}

} // namespace laburnum
