#pragma once

#include <LibMetrics/MetricsRegistry.h>

namespace laburnum {

/// References to the metrics that traffic threads update.
struct ServingMetrics {
  explicit ServingMetrics(MetricsRegistry &Registry)
      : Accepted_(Registry.counter("requests.accepted", "requests")),
        Completed_(Registry.counter("requests.completed", "requests")),
        Refused_(Registry.counter("requests.refused", "requests")),
        Failed_(Registry.counter("requests.failed", "requests")),
        Attempts_(Registry.counter("attempts.started", "attempts")),
        Retries_(Registry.counter("attempts.retried", "attempts")),
        Moves_(Registry.counter("attempts.moved", "attempts")),
        RecomputedTokens_(Registry.counter("tokens.recomputed", "tokens")),
        Tokens_(Registry.counter("tokens.sent", "tokens")),
        FirstTokenLatency_(
            Registry.distribution("latency.first_token", "milliseconds")),
        TotalLatency_(
            Registry.distribution("latency.whole_answer", "milliseconds")) {}

  Counter &Accepted_;
  Counter &Completed_;
  Counter &Refused_; ///< Refused before a backend server was contacted.
  Counter &Failed_;
  Counter &Attempts_;
  Counter &Retries_;
  Counter &Moves_;
  Counter &RecomputedTokens_;
  Counter &Tokens_;
  Distribution &FirstTokenLatency_;
  Distribution &TotalLatency_;
};

} // namespace laburnum
