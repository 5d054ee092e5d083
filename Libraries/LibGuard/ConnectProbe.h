#pragma once

#include <LibCore/Time.h>
#include <LibGuard/DisconnectClassifier.h>
#include <LibModel/Endpoint.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace laburnum {

/// Checks whether anything listens at an address by connecting once. To be used
/// on the io_context's only thread.
class ConnectProbe : public std::enable_shared_from_this<ConnectProbe> {
public:
  using Callback = std::function<void(ProbeAnswer)>;

  /// Connects after Delay and calls Done exactly once, at most Timeout later.
  static void start(asio::io_context &Context, Endpoint const &Address,
                    Duration Delay, Duration Timeout, Callback Done);

private:
  ConnectProbe(asio::io_context &Context, Endpoint Address, Duration Timeout,
               Callback Done);
  void connect();
  void finish(ProbeAnswer Answer);

  Endpoint const Address_;
  Duration const Timeout_;
  Callback Done_;
  asio::steady_timer Timer_;
  asio::ip::tcp::socket Socket_;
};

} // namespace laburnum
