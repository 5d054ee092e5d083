#pragma once

#include <LibModel/AttemptEvidence.h>

#include <string>

namespace laburnum {

/// Whether a request ran, as reported to the caller.
enum class RunState {
  NotRun,     ///< Certainly not run: no byte that could start work was sent.
  MayHaveRun, ///< Unknown.
  Ran,        ///< Certainly run.
};

/// Returns "not_run", "may_have_run" or "ran".
std::string toString(RunState State);

/// Decides from an attempt's evidence whether the request ran. No other code
/// decides this.
RunState runStateOf(AttemptEvidence const &Evidence);

/// Returns the state of a request after all its attempts: Ran if any attempt
/// ran, else MayHaveRun if any may have run.
RunState combine(RunState Left, RunState Right);

} // namespace laburnum
