#pragma once

#include <chrono>
#include <ctime>

namespace laburnum {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A reading of the local monotonic clock. Readings of different processes are
/// not comparable, so messages between processes carry Durations instead.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. Only programs and transports call this; decision
/// cores take the time as an argument.
inline TimePoint readClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Reads the clock that also counts while the machine is suspended
/// (CLOCK_BOOTTIME). Its readings must not be compared with readClock()'s.
inline TimePoint readBootClock() {
  timespec Read{};
  ::clock_gettime(CLOCK_BOOTTIME, &Read);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Read.tv_sec) +
      std::chrono::nanoseconds(Read.tv_nsec)));
}

} // namespace laburnum
