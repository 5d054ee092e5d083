#include "ServerProbe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>

namespace laburnum {

std::vector<ProbeAnswer> probeServers(std::vector<Endpoint> const &Targets,
                                      Duration Timeout) {
  asio::io_context Context;
  std::vector<ProbeAnswer> Answers(Targets.size(), ProbeAnswer::Silent);
  std::vector<asio::ip::tcp::socket> Sockets;
  Sockets.reserve(Targets.size());
  for (std::size_t Place = 0; Place < Targets.size(); ++Place) {
    auto &Socket = Sockets.emplace_back(Context);
    asio::error_code Malformed;
    auto const Address =
        asio::ip::make_address(Targets[Place].Host_, Malformed);
    if (Malformed)
      continue;
    Socket.async_connect({Address, Targets[Place].Port_},
                         [&Answers, Place](asio::error_code const &Failure) {
                           if (!Failure)
                             Answers[Place] = ProbeAnswer::Accepted;
                           else if (Failure == asio::error::connection_refused)
                             Answers[Place] = ProbeAnswer::Refused;
                         });
  }
  Context.run_for(Timeout);
  return Answers;
}

} // namespace laburnum
