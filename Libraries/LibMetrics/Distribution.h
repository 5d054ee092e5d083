#pragma once

#include <LibMetrics/Counter.h>
#include <LibMetrics/MetricSnapshot.h>

#include <array>
#include <memory>
#include <mutex>
#include <vector>

namespace laburnum {

namespace detail {
class QuantileEstimator;
} // namespace detail

/// Summarises recorded values as count, sum, maximum and estimated quantiles.
/// Any thread may record. A thread appends to its shard's buffer, and only a
/// full buffer is flushed to the shared estimator, which reduces contention.
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(Distribution const &) = delete;
  Distribution &operator=(Distribution const &) = delete;

  void record(double Value);

  /// Summarises all values recorded so far; name and unit are left empty. The
  /// quantiles are exact for few values and extended P-square estimates
  /// otherwise.
  MetricSnapshot snapshot();

private:
  struct alignas(CacheLineBytes) Shard {
    std::mutex Mutex_;
    std::vector<double> Values_;
  };

  void flush(Shard &Full);

  std::array<Shard, MetricShards> Shards_;
  std::mutex EstimatorMutex_; ///< Lock order: the shard's mutex first.
  std::unique_ptr<detail::QuantileEstimator> Estimator_;
};

} // namespace laburnum
