#include <LibModel/RunState.h>

#include <algorithm>

namespace laburnum {

std::string toString(RunState State) {
  switch (State) {
  case RunState::NotRun:
    return "not_run";
  case RunState::MayHaveRun:
    return "may_have_run";
  case RunState::Ran:
    return "ran";
  }
  return "may_have_run";
}

RunState runStateOf(AttemptEvidence const &Evidence) {
  if (Evidence.End_ == AttemptEnd::Refused)
    return RunState::NotRun;
  if (Evidence.Progress_ <= AttemptProgress::Connected)
    return RunState::NotRun;
  // A server may send its status line before it starts the work, so only a
  // complete answer proves that the request ran.
  if (Evidence.Progress_ == AttemptProgress::AnswerWhole)
    return RunState::Ran;
  return RunState::MayHaveRun;
}

RunState combine(RunState Left, RunState Right) {
  return std::max(Left, Right);
}

} // namespace laburnum
