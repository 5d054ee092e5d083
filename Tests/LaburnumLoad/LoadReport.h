#pragma once

#include <LaburnumLoad/LoadCall.h>

#include <string>
#include <vector>

namespace laburnum {

/// Percentiles of latency by kind of call and counts by outcome, as a table
/// for people or as JSON.
std::string tableOf(std::vector<CallOutcome> const &Outcomes);
std::string jsonOf(std::vector<CallOutcome> const &Outcomes);

} // namespace laburnum
