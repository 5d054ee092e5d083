#include <LibMetrics/Counter.h>

namespace laburnum {

std::size_t metricShard() {
  static std::atomic<std::size_t> NextShard = 0;
  thread_local std::size_t const ThreadShard =
      NextShard.fetch_add(1, std::memory_order_relaxed) % MetricShards;
  return ThreadShard;
}

std::uint64_t Counter::count() const {
  std::uint64_t Sum = 0;
  for (auto const &Each : Shards_)
    Sum += Each.Events_.load(std::memory_order_relaxed);
  return Sum;
}

} // namespace laburnum
