#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace laburnum {

/// Threads are distributed over this many shards, to reduce contention.
inline constexpr std::size_t MetricShards = 16;
inline constexpr std::size_t CacheLineBytes = 64;

/// Returns the calling thread's shard, which never changes for a thread.
std::size_t metricShard();

/// A sharded event counter. Any thread may add, without taking a lock.
class Counter {
public:
  void add(std::uint64_t Events = 1) {
    Shards_[metricShard()].Events_.fetch_add(Events, std::memory_order_relaxed);
  }

  /// Returns the number of events so far. Concurrent additions may be missing.
  std::uint64_t count() const;

private:
  struct alignas(CacheLineBytes) Shard {
    std::atomic<std::uint64_t> Events_ = 0;
  };

  std::array<Shard, MetricShards> Shards_;
};

} // namespace laburnum
