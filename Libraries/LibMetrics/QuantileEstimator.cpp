#include <LibMetrics/QuantileEstimator.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace laburnum::detail {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> Probabilities = {0.50, 0.95, 0.99};
constexpr std::size_t ExactValues = 64;

/// Returns the nearest-rank quantile: the smallest value such that at least the
/// given share of the sorted values does not exceed it.
double nearestRank(std::vector<double> const &Sorted, double Share) {
  auto const Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::max<std::size_t>(static_cast<std::size_t>(Rank), 1) - 1];
}

} // namespace

QuantileEstimator::QuantileEstimator()
    : Accumulators_(accumulators::tag::extended_p_square::probabilities =
                        Probabilities) {
  InitialValues_.reserve(ExactValues);
}

void QuantileEstimator::add(double Value) {
  Accumulators_(Value);
  if (InitialValues_.size() < ExactValues)
    InitialValues_.push_back(Value);
}

MetricSnapshot QuantileEstimator::snapshot() const {
  MetricSnapshot Snapshot;
  Snapshot.Count_ = accumulators::count(Accumulators_);
  if (Snapshot.Count_ == 0)
    return Snapshot;
  Snapshot.Sum_ = accumulators::sum(Accumulators_);
  Snapshot.Maximum_ = accumulators::max(Accumulators_);
  if (Snapshot.Count_ <= ExactValues) {
    fillExactQuantiles(Snapshot);
    return Snapshot;
  }
  auto const Quantiles = accumulators::extended_p_square(Accumulators_);
  Snapshot.P50_ = Quantiles[0];
  Snapshot.P95_ = Quantiles[1];
  Snapshot.P99_ = Quantiles[2];
  return Snapshot;
}

void QuantileEstimator::fillExactQuantiles(MetricSnapshot &Snapshot) const {
  auto Sorted = InitialValues_;
  std::sort(Sorted.begin(), Sorted.end());
  Snapshot.P50_ = nearestRank(Sorted, Probabilities[0]);
  Snapshot.P95_ = nearestRank(Sorted, Probabilities[1]);
  Snapshot.P99_ = nearestRank(Sorted, Probabilities[2]);
}

} // namespace laburnum::detail
