#pragma once

#include <chrono>
#include <ctime>

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

/// Reads the clock that also counts while the machine is suspended. Its
/// readings are compared with each other only, never with readClock()'s.
inline TimePoint readElapsedTime() {
  timespec Read{};
  ::clock_gettime(CLOCK_BOOTTIME, &Read);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Read.tv_sec) +
      std::chrono::nanoseconds(Read.tv_nsec)));
}

} // namespace laburnum
