#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace laburnum {

/// Threads are spread over this many shards, so that they seldom share one.
inline constexpr std::size_t MetricShards = 16;
inline constexpr std::size_t CacheLineBytes = 64;

/// The calling thread's shard, the same for its whole life.
std::size_t metricShard();

/// Counts events. Any thread may add; adding takes no lock.
class Counter {
public:
  void add(std::uint64_t Events = 1) {
    Shards_[metricShard()].Events_.fetch_add(Events, std::memory_order_relaxed);
  }

  /// The events so far; additions in progress may be missing.
  std::uint64_t count() const;

private:
  struct alignas(CacheLineBytes) Shard {
    std::atomic<std::uint64_t> Events_ = 0;
  };

  std::array<Shard, MetricShards> Shards_;
};

} // namespace laburnum
