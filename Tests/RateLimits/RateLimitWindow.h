#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

/// How the users judge whether a server got more requests than its rate limit.
namespace laburnum::rate_limits {

/// By then all instances keep to a limit that a server has stated.
inline constexpr std::chrono::seconds SettlingTime{3};
inline constexpr std::chrono::seconds Window{4};

/// Returns the number of requests that a server may get in any Window.
inline double allowedInWindow(double RequestsPerSecond) {
  constexpr double Tolerance = 1.5;
  constexpr double Slack = 5.0;
  return Tolerance * RequestsPerSecond * static_cast<double>(Window.count()) +
         Slack;
}

/// Returns the most arrivals within any Window; Arrivals are in order.
inline std::size_t mostInWindow(std::vector<TimePoint> const &Arrivals) {
  std::size_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    auto const End = std::lower_bound(First, Arrivals.end(), *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

} // namespace laburnum::rate_limits
