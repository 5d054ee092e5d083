#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// What a metric has seen since its process started.
struct MetricSnapshot {
  std::string Name_;
  std::string Unit_;
  std::uint64_t Count_ = 0; ///< Events, or values of a distribution.
  double Sum_ = 0.0;        ///< Of a distribution's values.
  double P50_ = 0.0;        ///< Estimates; only for distributions.
  double P95_ = 0.0;
  double P99_ = 0.0;
  double Maximum_ = 0.0;

  auto operator<=>(MetricSnapshot const &) const = default;
};

} // namespace laburnum
