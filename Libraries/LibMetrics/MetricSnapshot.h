#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// The value of a metric since its process started.
struct MetricSnapshot {
  std::string Name_;
  std::string Unit_;
  std::uint64_t Count_ = 0; ///< Number of events or recorded values.
  double Sum_ = 0.0;        ///< Of the recorded values; distributions only.
  double P50_ = 0.0;        ///< Quantile estimates; distributions only.
  double P95_ = 0.0;
  double P99_ = 0.0;
  double Maximum_ = 0.0;

  auto operator<=>(MetricSnapshot const &) const = default;
};

} // namespace laburnum
