#include <LibMetrics/Distribution.h>
#include <LibMetrics/QuantileEstimator.h>

namespace laburnum {

namespace {

constexpr std::size_t BufferedValues = 64;

} // namespace

Distribution::Distribution()
    : Estimator_(std::make_unique<detail::QuantileEstimator>()) {
  for (auto &One : Shards_)
    One.Values_.reserve(BufferedValues);
}

Distribution::~Distribution() = default;

void Distribution::record(double Value) {
  auto &Own = Shards_[metricShard()];
  std::lock_guard const Lock(Own.Mutex_);
  Own.Values_.push_back(Value);
  if (Own.Values_.size() == BufferedValues)
    flush(Own);
}

MetricSnapshot Distribution::snapshot() {
  for (auto &One : Shards_) {
    std::lock_guard const Lock(One.Mutex_);
    flush(One);
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
