#include "HeldPorts.h"

#include <LibCore/Time.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <ctime>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds RetryPause{100};
constexpr std::chrono::seconds LogPeriod{10};

bool isHeld(asio::io_context &Context, Endpoint const &Local) {
  asio::error_code Failure;
  auto const Address = asio::ip::make_address(Local.Host_, Failure);
  if (Failure || Local.Port_ == 0)
    return false;
  asio::ip::tcp::acceptor Acceptor(Context);
  Acceptor.open(Address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(),
                Failure);
  if (!Failure)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind({Address, Local.Port_}, Failure);
  return Failure == asio::error::address_in_use;
}

/// Returns whether one of the signals came within the time.
bool isStopped(sigset_t const &StopSignals, std::chrono::milliseconds Within) {
  timespec Time{};
  Time.tv_nsec = std::chrono::nanoseconds(Within).count();
  return sigtimedwait(&StopSignals, nullptr, &Time) > 0;
}

} // namespace

PortWait awaitFreePorts(std::vector<Endpoint> const &Endpoints,
                        sigset_t const &StopSignals) {
  asio::io_context Context;
  auto LogAt = TimePoint::min();
  while (true) {
    auto const Held = std::find_if(
        Endpoints.begin(), Endpoints.end(),
        [&](Endpoint const &Local) { return isHeld(Context, Local); });
    if (Held == Endpoints.end())
      return PortWait::Free;
    auto const Now = readClock();
    if (Now >= LogAt) {
      LOG(WARNING) << "port_held=" << Held->Host_ << ':' << Held->Port_;
      LogAt = Now + LogPeriod;
    }
    if (isStopped(StopSignals, RetryPause))
      return PortWait::Stopped;
  }
}

} // namespace laburnum
