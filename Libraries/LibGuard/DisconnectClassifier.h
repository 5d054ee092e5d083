#pragma once

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
};

/// Results of the probes after a disconnect. A terminating process may briefly
/// accept connections, so its server is probed repeatedly.
struct DisconnectProbes {
  std::vector<ProbeAnswer> Server_;
  /// Servers of the same data centre that were healthy before the disconnect.
  std::vector<ProbeAnswer> Neighbours_;

  auto operator<=>(DisconnectProbes const &) const = default;
};

/// Decides whether a lost connection was a crash. A server that is restarted
/// before the first probe is classified as a lost link, because its answers do
/// not identify its incarnation.
DisconnectCause classifyDisconnect(DisconnectProbes const &Probes);

} // namespace laburnum
