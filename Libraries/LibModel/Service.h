#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

enum class ServiceKind {
  Model, ///< Model engines; token streams that can be resumed.
  Plain, ///< Any HTTP service; calls are routed by path.
};

/// Calls of a plain service that must not be run twice: those of this method
/// whose path starts with the prefix. An empty method matches every method.
struct CallPattern {
  std::string Method_;
  std::string PathPrefix_;

  auto operator<=>(CallPattern const &) const = default;
};

/// How much the operators mind each sort of loss when policies trade them off.
struct OutcomeWeights {
  double RecomputedToken_ = 1.0; ///< Cost units per token computed again.
  double Cost_ = 1.0;            ///< Cost units per unit of machine price.

  auto operator<=>(OutcomeWeights const &) const = default;
};

/// What a service may use: where its servers run and on what terms.
struct Placement {
  std::vector<DataCentre> DataCentres_; ///< Empty means any.
  std::uint32_t DesiredServers_ = 0;
  /// The least share of servers kept on instances that cannot be reclaimed.
  double OnDemandShare_ = 0.0;

  auto operator<=>(Placement const &) const = default;
};

/// A service as its operators define it.
struct Service {
  ServiceName Name_;
  ServiceKind Kind_ = ServiceKind::Plain;
  Placement Placement_;
  std::int32_t Priority_ = 0; ///< The higher is refused later.
  /// 95 in 100 first answers (first token, or whole plain answer) within this.
  Duration LatencyTarget_ = std::chrono::milliseconds(340);
  std::vector<CallPattern> NonIdempotentCalls_;
  OutcomeWeights Weights_;
  double RetryBudget_ = 0.1; ///< Retries allowed per request, on average.

  auto operator<=>(Service const &) const = default;
};

/// True when the call must not be run twice. Model completions never are
/// non-idempotent; GET, HEAD and OPTIONS (RFC 9110, section 9.2.2) only if a
/// pattern names the method.
bool isNonIdempotent(Service const &Owner, std::string const &Method,
                     std::string const &Path);

} // namespace laburnum
