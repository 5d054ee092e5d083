#include <LibTraffic/ServerPriority.h>

#include <algorithm>
#include <set>

namespace laburnum {

namespace {

/// Priorities of one rank, told apart by the latency target.
constexpr std::uint32_t StepsInRank = 3;

bool sharesService(Route const &One, Route const &Other) {
  return std::any_of(
      One.Services_.begin(), One.Services_.end(), [&](auto const &Choice) {
        return std::any_of(
            Other.Services_.begin(), Other.Services_.end(),
            [&](auto const &Else) { return Else.Service_ == Choice.Service_; });
      });
}

} // namespace

std::uint32_t serverPriority(RouteTable const &Table, Route const &Route,
                             std::int32_t Rank) {
  std::set<Duration> SoonerTargets;
  for (auto const &Other : Table.routes())
    if (Other.LatencyTarget_ < Route.LatencyTarget_ &&
        sharesService(Other, Route))
      SoonerTargets.insert(Other.LatencyTarget_);
  auto const Step =
      std::min<std::size_t>(SoonerTargets.size(), StepsInRank - 1);
  auto const First = static_cast<std::uint32_t>(
      std::clamp<std::int32_t>(Rank, 0, MaxServerPriority / StepsInRank));
  return std::min(First * StepsInRank + static_cast<std::uint32_t>(Step),
                  MaxServerPriority);
}

} // namespace laburnum
