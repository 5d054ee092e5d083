#pragma once

#include <LibModel/LinkState.h>

#include <compare>
#include <vector>

namespace laburnum {

/// What a server's address answered to an attempt to connect.
enum class ProbeAnswer {
  Accepted, ///< Something listens there.
  Refused,  ///< The machine answers and nothing listens.
  Silent,   ///< No answer within the probe's timeout.
};

/// Why an attempt's connection was lost.
enum class DisconnectCause {
  Link,        ///< Network failure: the server is still running.
  Crash,       ///< The process is gone and its machine still responds.
  MachineLost, ///< Its machine no longer answers.
  Reclaim,     ///< Most neighbouring servers were lost at the same time.
  Undecided, ///< The prober may be cut off; to be probed again once it is not.
};

/// What the list of servers says of the process that was disconnected.
enum class ListedProcess {
  Same,
  Replaced, ///< A later one has its identifier or its address.
};

/// Results of the probes after a disconnect. A terminating process may briefly
/// accept connections, so its server is probed repeatedly.
struct DisconnectProbes {
  std::vector<ProbeAnswer> Server_;
  /// Servers of the same data centre that were healthy before the disconnect.
  std::vector<ProbeAnswer> Neighbours_;
  ListedProcess Listed_ = ListedProcess::Same;
  /// Of the prober to the service.
  LinkState Link_ = LinkState::Up;

  auto operator<=>(DisconnectProbes const &) const = default;
};

/// Decides whether a lost connection was a crash. A server that is restarted
/// before the first probe and is not listed as replaced by then is classified
/// as a lost link, because its answers do not identify its incarnation. A cut
/// link looks like a crash of all servers, as it may refuse connections too:
/// only the list of servers, which comes another way, tells them apart.
DisconnectCause classifyDisconnect(DisconnectProbes const &Probes);

} // namespace laburnum
