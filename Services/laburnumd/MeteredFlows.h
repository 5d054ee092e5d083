#pragma once

#include "ServingMetrics.h"

#include <LibCallers/FlowRunner.h>

namespace laburnum {

/// Runs requests' flows and counts what became of them. Safe to call from
/// several threads.
class MeteredFlows {
public:
  MeteredFlows(FlowResources const &Resources, ServingMetrics &Metrics)
      : Resources_(Resources), Metrics_(Metrics) {}

  /// Blocks until the flow has ended.
  FlowReport run(CallerRequest const &Request, TokenSink const &Sink);

private:
  FlowResources const Resources_;
  ServingMetrics &Metrics_;
};

} // namespace laburnum
