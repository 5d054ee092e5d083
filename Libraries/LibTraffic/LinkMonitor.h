#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/LinkState.h>

#include <cstddef>
#include <map>
#include <set>

namespace laburnum {

/// Decides whether this instance is cut off from the servers of one service,
/// which it cannot tell from a crash of them all. Failed connections, or
/// silence while requests wait, only call for a probe of several servers: the
/// link is cut if none accepts a connection. A silent or crashed server is no
/// cut.
class LinkMonitor {
public:
  /// Silence of all servers for this long, while a request waits, is
  /// suspicious.
  static constexpr std::chrono::milliseconds SuspiciousSilence{700};
  /// Servers that one probe connects to.
  static constexpr std::size_t ProbedServers = 3;

  LinkState state() const { return State_; }

  void onSent(ServerId const &Server, TimePoint Now);
  /// The attempt has got its first byte or has ended.
  void onWaitEnded(ServerId const &Server);
  /// A server has answered or accepted a connection.
  void onContact(TimePoint Now);
  /// A connection to the server failed before it answered.
  void onFailure(ServerId const &Server);
  /// Whether to connect to some of the service's servers, of which Known serve.
  bool isProbeDue(std::size_t Known, TimePoint Now) const;
  bool isWaiting() const { return !WaitingSince_.empty(); }
  void onProbeStarted(std::size_t Servers);
  /// The result of a probe's connection to one server.
  void onProbed(bool IsReachable, TimePoint Now);

private:
  struct Wait {
    TimePoint Since_{};
    std::size_t Attempts_ = 0;
  };

  LinkState State_ = LinkState::Up;
  TimePoint LastContactAt_ = TimePoint::min();
  std::set<ServerId> Failed_; ///< Since the last contact.
  std::map<ServerId, Wait> WaitingSince_;
  std::size_t OpenProbes_ = 0;
  bool HasReached_ = false; ///< By the current probe.
};

} // namespace laburnum
