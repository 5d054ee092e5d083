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

/// Processes a caller's message: parses it, applies admission and account
/// limits, runs the request's flow and builds the answer. Called on traffic
/// threads.
class RequestService {
public:
  RequestService(TrafficView &View, AccountLimiter &Limiter, DrainGate &Gate,
                 ServingMetrics &Metrics, MeteredFlows &Flows,
                 StreamService &Streams, RequestBounds const &Bounds,
                 std::uint64_t Seed);

  CallerAnswer answer(CallerMessage const &Message);
  HttpAnswer refuse(Error const &Failure);

private:
  /// Releases the drain gate and the account's limits when the request ends.
  class Admission;

  CallerAnswer answerPlain(ParsedRequest const &Parsed);
  /// The stream shares ownership of the admission, as it outlives this call.
  CallerAnswer answerCompletion(ParsedRequest const &Parsed,
                                std::shared_ptr<Admission> Admitted);
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
