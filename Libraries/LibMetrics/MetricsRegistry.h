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

/// All metrics of one process. Callers look up a metric by name once and keep
/// the reference, which is valid for the lifetime of the registry. The look-up
/// takes a lock and is not meant for hot paths. Names are dotted and in snake
/// case, and no counter has the name of a distribution.
class MetricsRegistry {
public:
  /// Returns the counter of this name and creates it at the first call.
  Counter &counter(std::string const &Name, std::string const &Unit);
  /// Returns the distribution of this name and creates it at the first call.
  Distribution &distribution(std::string const &Name, std::string const &Unit);

  /// Adds a counter that another object maintains. Read returns its value; it
  /// is called for each snapshot, on any thread, and must stay valid for the
  /// lifetime of the registry.
  void addCallbackCounter(std::string const &Name, std::string const &Unit,
                          std::function<std::uint64_t()> Read);

  /// Returns all metrics whose names start with Prefix, sorted by name.
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

  struct NamedCallbackCounter {
    std::string Unit_;
    std::function<std::uint64_t()> Read_;
  };

  std::mutex Mutex_;
  std::map<std::string, NamedCounter> Counters_;
  std::map<std::string, NamedCallbackCounter> CallbackCounters_;
  std::map<std::string, NamedDistribution> Distributions_;
};

} // namespace laburnum
