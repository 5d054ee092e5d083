#pragma once

#include <LibMetrics/MetricSnapshot.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <vector>

namespace laburnum::detail {

/// Computes count, sum, maximum and quantiles of a series of values. Not
/// thread-safe. Extended P-square estimates are meaningless for few values, so
/// the first values are kept to compute exact quantiles until there are enough.
class QuantileEstimator {
public:
  QuantileEstimator();

  void add(double Value);
  MetricSnapshot snapshot() const;

private:
  using Accumulators = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  void fillExactQuantiles(MetricSnapshot &Snapshot) const;

  Accumulators Accumulators_;
  std::vector<double> InitialValues_;
};

} // namespace laburnum::detail
