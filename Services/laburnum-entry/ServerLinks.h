#pragma once

#include <LibGuard/ConnectProbe.h>
#include <LibLog/EventLog.h>
#include <LibTraffic/LinkMonitor.h>
#include <LibTraffic/ServerRoster.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace laburnum {

/// Follows whether this instance reaches the servers of each service, and
/// connects to some of them where its LinkMonitor asks for it. Runs on the
/// traffic thread.
class ServerLinks {
public:
  struct Callbacks {
    std::function<void(ServiceName const &)> Cut_;
    std::function<void()> Up_; ///< A link that was cut is up again.
  };

  /// The context, the roster and the log have to outlive the links.
  ServerLinks(asio::io_context &Context, ServerRoster &Roster, EventLog &Log,
              Callbacks Callbacks);

  bool isCut(ServiceName const &Service) const;
  void onSent(ServerRecord const &Server);
  /// The attempt has got its first byte or has ended.
  void onWaitEnded(ServerRecord const &Server);
  /// A server has answered an attempt.
  void onContact(ServiceName const &Service);
  /// A connection to the server failed before it answered.
  void onFailure(ServerRecord const &Server);

private:
  /// Probes the service's servers if its link is suspected or cut.
  void check(ServiceName const &Service);
  void onProbed(ServiceName const &Service, bool IsReachable);
  void armTimer();

  asio::io_context &Context_;
  ServerRoster &Roster_;
  EventLog &Log_;
  Callbacks Callbacks_;
  std::map<ServiceName, LinkMonitor> Links_;
  asio::steady_timer Timer_;
  bool IsArmed_ = false;
};

} // namespace laburnum
