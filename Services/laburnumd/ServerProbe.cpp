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
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    auto &Socket = Sockets.emplace_back(Context);
    asio::error_code Malformed;
    auto const Address =
        asio::ip::make_address(Targets[Index].Host_, Malformed);
    if (Malformed)
      continue;
    Socket.async_connect({Address, Targets[Index].Port_},
                         [&Answers, Index](asio::error_code const &Failure) {
                           if (!Failure)
                             Answers[Index] = ProbeAnswer::Accepted;
                           else if (Failure == asio::error::connection_refused)
                             Answers[Index] = ProbeAnswer::Refused;
                         });
  }
  Context.run_for(Timeout);
  return Answers;
}

} // namespace laburnum
