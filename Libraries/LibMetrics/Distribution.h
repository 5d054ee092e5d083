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

/// Values seen, summarised as count, sum, maximum and estimated quantiles. Any
/// thread may record. A thread appends to its shard's buffer, and a full
/// buffer goes into the one estimator, so threads seldom wait for each other.
class Distribution {
public:
  Distribution();
  ~Distribution();
  Distribution(Distribution const &) = delete;
  Distribution &operator=(Distribution const &) = delete;

  void record(double Value);

  /// All values recorded so far, without name and unit. The quantiles are
  /// exact for few values and extended P-square estimates beyond.
  MetricSnapshot snapshot();

private:
  struct alignas(CacheLineBytes) Shard {
    std::mutex Mutex_;
    std::vector<double> Values_;
  };

  void flush(Shard &Full);

  std::array<Shard, MetricShards> Shards_;
  std::mutex EstimatorMutex_; ///< Taken after a shard's, never before.
  std::unique_ptr<detail::QuantileEstimator> Estimator_;
};

} // namespace laburnum
