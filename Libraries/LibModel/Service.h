#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

enum class ServiceKind {
  Model, ///< Model engines with resumable token streams.
  Plain, ///< Any HTTP service; calls are routed by path.
};

/// A pattern for non-idempotent calls of a plain service: those with this
/// method whose path starts with the prefix. An empty method matches any
/// method.
struct CallPattern {
  std::string Method_;
  std::string PathPrefix_;

  auto operator<=>(CallPattern const &) const = default;
};

/// The operators' weights for costs that policies trade off.
struct OutcomeWeights {
  double RecomputedToken_ = 1.0; ///< Cost units per recomputed token.
  double Cost_ = 1.0;            ///< Cost units per unit of machine price.

  auto operator<=>(OutcomeWeights const &) const = default;
};

/// Placement constraints of a service: where its servers run and how many of
/// them must not be reclaimable.
struct Placement {
  std::vector<DataCentre> DataCentres_; ///< Empty means any.
  std::uint32_t DesiredServers_ = 0;
  /// Minimum share of servers on instances that cannot be reclaimed.
  double OnDemandShare_ = 0.0;

  auto operator<=>(Placement const &) const = default;
};

/// A service as configured by its operators.
struct Service {
  ServiceName Name_;
  ServiceKind Kind_ = ServiceKind::Plain;
  Placement Placement_;
  std::int32_t Priority_ = 0; ///< Higher priorities are rejected later.
  /// Target for the 95th percentile of the time to the first token, or to the
  /// complete answer of a plain service.
  Duration LatencyTarget_ = std::chrono::milliseconds(340);
  std::vector<CallPattern> NonIdempotentCalls_;
  OutcomeWeights Weights_;
  double RetryBudget_ = 0.1; ///< Retries allowed per request, on average.

  auto operator<=>(Service const &) const = default;
};

/// Returns true when the call must not be run twice. Model completions are
/// always idempotent. GET, HEAD and OPTIONS (RFC 9110, section 9.2.2) are
/// non-idempotent only if a pattern names the method.
bool isNonIdempotent(Service const &Owner, std::string const &Method,
                     std::string const &Path);

} // namespace laburnum
