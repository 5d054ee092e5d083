#pragma once

#include "Standins.h"

namespace review {

/// A fleet under a steady load of one tenant within its quota, machines that
/// are removed for good, and a final fault, after which the rule RECOVER is
/// checked.
struct FleetCase {
  unsigned Machines_ = 3;
  /// Machines that are removed one after the other before the final fault, each
  /// replaced by a new one at another address.
  unsigned Replaced_ = 0;
  double ReplaceEveryMs_ = 1800;
  double ReplaceAfterMs_ = 1000; ///< Until the new one starts.
  /// Machines that the final fault takes for good.
  unsigned Gone_ = 0;
  double CalmMs_ = 10000; ///< Load before the first disruption.
  double RequestsPerSecond_ = 100;
  int TokensPerRequest_ = 1000;
  double QuotaOfUsual_ = 1.8; ///< The tenant's limit, of what it asks.
  double DownMs_ = 1000;
  double RecoveryMs_ = 12000;
  double JudgedMs_ = 14000; ///< After the recovery.
};

/// Plays the case. Returns the exit status of its script.
int play(FleetCase const &Case, Record &Into);

} // namespace review
