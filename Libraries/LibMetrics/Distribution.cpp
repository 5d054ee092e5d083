#include <LibMetrics/Distribution.h>
#include <LibMetrics/QuantileEstimator.h>

namespace laburnum {

namespace {

constexpr std::size_t BufferedValues = 64;

} // namespace

Distribution::Distribution()
    : Estimator_(std::make_unique<detail::QuantileEstimator>()) {
  for (auto &Each : Shards_)
    Each.Values_.reserve(BufferedValues);
}

Distribution::~Distribution() = default;

void Distribution::record(double Value) {
  auto &ThreadShard = Shards_[metricShard()];
  std::lock_guard const Lock(ThreadShard.Mutex_);
  ThreadShard.Values_.push_back(Value);
  if (ThreadShard.Values_.size() == BufferedValues)
    flush(ThreadShard);
}

MetricSnapshot Distribution::snapshot() {
  for (auto &Each : Shards_) {
    std::lock_guard const Lock(Each.Mutex_);
    flush(Each);
  }
  std::lock_guard const Lock(EstimatorMutex_);
  return Estimator_->snapshot();
}

void Distribution::flush(Shard &Full) {
  std::lock_guard const Lock(EstimatorMutex_);
  for (auto const Value : Full.Values_)
    Estimator_->add(Value);
  Full.Values_.clear();
}

} // namespace laburnum
