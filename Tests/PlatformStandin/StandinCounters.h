#pragma once

#include <atomic>
#include <cstdint>

namespace laburnum {

/// Calls by kind, successful or not; a blocking watch counts as one call.
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
  /// Calls answered with 429 or 503, which also count for their kind.
  std::atomic<std::uint64_t> Refused_ = 0;
};

} // namespace laburnum
