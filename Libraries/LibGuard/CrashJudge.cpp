#include <LibGuard/CrashJudge.h>

#include <algorithm>
#include <cstddef>

namespace laburnum {

namespace {

bool contains(std::vector<ProbeAnswer> const &Answers, ProbeAnswer Wanted) {
  return std::find(Answers.begin(), Answers.end(), Wanted) != Answers.end();
}

bool mostAreGone(std::vector<ProbeAnswer> const &Answers) {
  auto const Gone =
      std::count_if(Answers.begin(), Answers.end(), [](ProbeAnswer One) {
        return One != ProbeAnswer::Accepted;
      });
  return 2 * static_cast<std::size_t>(Gone) > Answers.size();
}

} // namespace

BreakCause judgeBreak(BreakProbes const &Probes) {
  auto const HasRefused = contains(Probes.Server_, ProbeAnswer::Refused);
  if (!HasRefused && contains(Probes.Server_, ProbeAnswer::Accepted))
    return BreakCause::Link;
  if (mostAreGone(Probes.Neighbours_))
    return BreakCause::Reclaim;
  return HasRefused ? BreakCause::Crash : BreakCause::MachineLost;
}

} // namespace laburnum
