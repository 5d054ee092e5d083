#pragma once

#include <atomic>
#include <cstdint>

namespace laburnum {

/// Calls by kind, whether they succeeded or not; a waiting watch is one call.
struct StandinCounters {
  std::atomic<std::uint64_t> Gets_ = 0;
  std::atomic<std::uint64_t> Lists_ = 0;
  std::atomic<std::uint64_t> Puts_ = 0;
  std::atomic<std::uint64_t> Watches_ = 0;
  std::atomic<std::uint64_t> InstanceLists_ = 0;
  std::atomic<std::uint64_t> Notices_ = 0;
  std::atomic<std::uint64_t> Starts_ = 0;
  std::atomic<std::uint64_t> Stops_ = 0;
  std::atomic<std::uint64_t> Weights_ = 0;
  /// Answered with 429 or 503, and also in the count of their kind.
  std::atomic<std::uint64_t> Refused_ = 0;
};

} // namespace laburnum
