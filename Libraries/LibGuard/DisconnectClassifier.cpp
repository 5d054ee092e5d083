#include <LibGuard/DisconnectClassifier.h>

#include <algorithm>
#include <cstddef>

namespace laburnum {

namespace {

bool contains(std::vector<ProbeAnswer> const &Answers, ProbeAnswer Expected) {
  return std::find(Answers.begin(), Answers.end(), Expected) != Answers.end();
}

bool mostAreUnreachable(std::vector<ProbeAnswer> const &Answers) {
  auto const Unreachable =
      std::count_if(Answers.begin(), Answers.end(), [](ProbeAnswer Answer) {
        return Answer != ProbeAnswer::Accepted;
      });
  return 2 * static_cast<std::size_t>(Unreachable) > Answers.size();
}

} // namespace

DisconnectCause classifyDisconnect(DisconnectProbes const &Probes) {
  if (Probes.Listed_ == ListedProcess::Replaced)
    return DisconnectCause::Crash;
  if (Probes.Link_ == LinkState::Cut)
    return DisconnectCause::Undecided;
  auto const HasRefused = contains(Probes.Server_, ProbeAnswer::Refused);
  if (!HasRefused && contains(Probes.Server_, ProbeAnswer::Accepted))
    return DisconnectCause::Link;
  if (mostAreUnreachable(Probes.Neighbours_))
    return DisconnectCause::Reclaim;
  return HasRefused ? DisconnectCause::Crash : DisconnectCause::MachineLost;
}

} // namespace laburnum
