#pragma once

#include "ServingMetrics.h"

#include <LibCallers/FlowRunner.h>

namespace laburnum {

/// Runs the flows of requests and records metrics about their results.
/// Thread-safe.
class MeteredFlows {
public:
  MeteredFlows(FlowResources const &Resources, ServingMetrics &Metrics)
      : Resources_(Resources), Metrics_(Metrics) {}

  /// Runs one flow and blocks until it has ended.
  FlowReport run(CallerRequest const &Request, TokenSink const &Sink);

private:
  FlowResources const Resources_;
  ServingMetrics &Metrics_;
};

} // namespace laburnum
