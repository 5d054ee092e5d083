#pragma once

#include <chrono>

namespace laburnum {

/// Spans of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A reading of the local monotonic clock. Readings of two processes are not
/// comparable; what crosses a connection is a Duration.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the clock. Only programs and transports call this; whatever decides
/// takes the time as an argument.
inline TimePoint readClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace laburnum
