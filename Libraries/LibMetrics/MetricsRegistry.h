#pragma once

#include <LibMetrics/Counter.h>
#include <LibMetrics/Distribution.h>
#include <LibMetrics/MetricSnapshot.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace laburnum {

/// All metrics of one process. Whoever counts asks once for a handle by name
/// and keeps the reference, which is good as long as the registry lives; the
/// look-up takes a lock and is not for hot paths. Names are dotted and in snake
/// case, and no counter has the name of a distribution.
class MetricsRegistry {
public:
  /// The counter of this name, made at the first call.
  Counter &counter(std::string const &Name, std::string const &Unit);
  /// The distribution of this name, made at the first call.
  Distribution &distribution(std::string const &Name, std::string const &Unit);

  /// A counter that another object keeps: Read yields it, is called for each
  /// snapshot on any thread, and stays good as long as the registry lives.
  void addReading(std::string const &Name, std::string const &Unit,
                  std::function<std::uint64_t()> Read);

  /// All metrics whose names start with Prefix, sorted by name.
  std::vector<MetricSnapshot> snapshot(std::string const &Prefix = "");

private:
  struct NamedCounter {
    std::string Unit_;
    std::unique_ptr<Counter> Counter_;
  };
  struct NamedDistribution {
    std::string Unit_;
    std::unique_ptr<Distribution> Distribution_;
  };

  struct NamedReading {
    std::string Unit_;
    std::function<std::uint64_t()> Read_;
  };

  std::mutex Mutex_;
  std::map<std::string, NamedCounter> Counters_;
  std::map<std::string, NamedReading> Readings_;
  std::map<std::string, NamedDistribution> Distributions_;
};

} // namespace laburnum
