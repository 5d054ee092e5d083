#pragma once

#include "DrainGate.h"
#include "MeteredFlows.h"
#include "ServingMetrics.h"
#include "StreamService.h"
#include "TrafficView.h"

#include <LibCallers/CallerServer.h>
#include <LibCallers/FlowRunner.h>
#include <LibCore/IdentifierSource.h>
#include <LibServing/AccountLimiter.h>

#include <mutex>

namespace laburnum {

/// Takes a caller's message through the filters: read, admit, limit, then the
/// request's flow, and writes the answer. Called on traffic threads.
class RequestService {
public:
  RequestService(TrafficView &View, AccountLimiter &Limiter, DrainGate &Gate,
                 ServingMetrics &Metrics, MeteredFlows &Flows,
                 StreamService &Streams, RequestBounds const &Bounds,
                 std::uint64_t Seed);

  CallerAnswer answer(CallerMessage const &Message);
  HttpAnswer refuse(Error const &Failure);

private:
  /// Releases what the filters took when the request has ended.
  class Admission;

  CallerAnswer answerPlain(ParsedRequest const &Read);
  /// Held goes with the stream, which outlives this call.
  CallerAnswer answerCompletion(ParsedRequest const &Read,
                                std::shared_ptr<Admission> Held);
  RequestId nextId();

  TrafficView &View_;
  AccountLimiter &Limiter_;
  DrainGate &Gate_;
  ServingMetrics &Metrics_;
  MeteredFlows &Flows_;
  StreamService &Streams_;
  RequestBounds const Bounds_;
  std::mutex Mutex_;
  IdentifierSource Identifiers_;
};

} // namespace laburnum
