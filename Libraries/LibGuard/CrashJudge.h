#pragma once

#include <compare>
#include <vector>

namespace laburnum {

/// What a server's address answered to an attempt to connect.
enum class ProbeAnswer {
  Accepted, ///< Something listens there.
  Refused,  ///< The machine answers and nothing listens.
  Silent,   ///< No answer within the probe's time.
};

/// Why an attempt's connection broke.
enum class BreakCause {
  Link,        ///< The server is still there.
  Crash,       ///< Its process is gone and its machine is there.
  MachineLost, ///< Its machine no longer answers.
  Reclaim,     ///< Most servers beside it went at the same time.
};

/// The probes that were made after a break. A process that is ending may
/// accept connections for a moment, so that its server is probed repeatedly.
struct BreakProbes {
  std::vector<ProbeAnswer> Server_;
  /// Of servers in the same data centre that were well before the break.
  std::vector<ProbeAnswer> Neighbours_;

  auto operator<=>(BreakProbes const &) const = default;
};

/// The one place that decides whether a broken connection was a crash. A
/// server that is started anew before the first probe passes for a broken
/// link, since nothing that it answers names its present life.
BreakCause judgeBreak(BreakProbes const &Probes);

} // namespace laburnum
