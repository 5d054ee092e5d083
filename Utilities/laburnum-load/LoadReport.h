#pragma once

#include "LoadCall.h"

#include <string>
#include <vector>

namespace laburnum {

/// The outcomes of all calls of a run.
struct LoadRun {
  std::vector<CallOutcome> Outcomes_;
  Duration Elapsed_{}; ///< From the first planned start to the last end.

  auto operator<=>(LoadRun const &) const = default;
};

/// Latency percentiles by kind of call and counts by outcome, as a
/// human-readable table or as JSON.
std::string tableOf(LoadRun const &Run);
std::string jsonOf(LoadRun const &Run);

} // namespace laburnum
