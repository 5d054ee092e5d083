#pragma once

#include <LibModel/AttemptEvidence.h>

#include <string>

namespace laburnum {

/// What a caller is told about whether its request ran.
enum class RunState {
  NotRun,     ///< Certainly not: no byte that could start work got through.
  MayHaveRun, ///< It cannot be told.
  Ran,        ///< It did.
};

/// "not_run", "may_have_run" or "ran".
std::string toString(RunState State);

/// The one place that decides, from what an attempt sent and saw.
RunState runStateOf(AttemptEvidence const &Evidence);

/// The state of a request after all its attempts: the one that ran most.
RunState combine(RunState Left, RunState Right);

} // namespace laburnum
