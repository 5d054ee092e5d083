#include <LibGuard/DisconnectClassifier.h>

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

DisconnectCause classifyDisconnect(DisconnectProbes const &Probes) {
  auto const HasRefused = contains(Probes.Server_, ProbeAnswer::Refused);
  if (!HasRefused && contains(Probes.Server_, ProbeAnswer::Accepted))
    return DisconnectCause::Link;
  if (mostAreGone(Probes.Neighbours_))
    return DisconnectCause::Reclaim;
  return HasRefused ? DisconnectCause::Crash : DisconnectCause::MachineLost;
}

} // namespace laburnum
