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

/// Count, sum, maximum and quantiles of a series of values, for one thread at
/// a time. Extended P-square needs some values before its estimates mean
/// anything, so the first ones are kept to answer exactly until then.
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

  void fillExactly(MetricSnapshot &Snapshot) const;

  Accumulators Accumulators_;
  std::vector<double> First_;
};

} // namespace laburnum::detail
