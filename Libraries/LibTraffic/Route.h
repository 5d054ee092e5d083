#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

enum class AnswerForm { Complete, EventStream };

/// Whether a request may be executed more than once.
enum class Repeatability {
  Never,      ///< At most one run.
  Repeatable, ///< Idempotent: may run again from the start.
  Resumable,  ///< A stream that another server can resume after any event.
};

enum class RouteAccess { KeyRequired, Anonymous };

/// A service and its weight in a route's traffic split.
struct WeightedService {
  ServiceName Service_;
  std::uint32_t Weight_ = 0;

  auto operator<=>(WeightedService const &) const = default;
};

/// Maps the requests of a host and path prefix to services, with timeouts,
/// priority and retry policy.
struct Route {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_; ///< Begins and ends with a slash.
  AnswerForm Form_ = AnswerForm::Complete;
  Repeatability Repeatability_ = Repeatability::Never;
  RouteAccess Access_ = RouteAccess::KeyRequired;
  Duration Timeout_ = std::chrono::seconds(10); ///< To the end of the answer.
  Duration LatencyTarget_ = std::chrono::seconds(1); ///< To the first event.
  std::int32_t Rank_ = 0; ///< Priority; 0 is served first.
  std::uint32_t MaxAttempts_ = 1;
  std::vector<WeightedService> Services_;

  auto operator<=>(Route const &) const = default;
};

/// Limits and prices for scaling a service's servers.
struct ScalingBounds {
  std::uint32_t Minimum_ = 0; ///< Servers in each data centre.
  std::uint32_t Maximum_ = 0;
  Duration BootTime_{};
  /// Price of a reclaimable server relative to an on-demand one.
  double ReclaimablePrice_ = 1.0;
  std::map<DataCentre, double> Prices_; ///< Per server and second.

  auto operator<=>(ScalingBounds const &) const = default;
};

/// Capacity of a model engine.
struct EngineTraits {
  /// The length of a long prompt, in tokens.
  static constexpr std::uint64_t LongPromptTokens = 12000;

  std::uint32_t Slots_ = 0;
  std::uint64_t MemoryTokens_ = 0;

  /// Whether the engine has fewer tokens of memory than long prompts in all its
  /// slots would fill. The slots of such an engine do not show its load: it is
  /// busy reading long before they are full.
  bool isWorkBound() const {
    return MemoryTokens_ > 0 && MemoryTokens_ < Slots_ * LongPromptTokens;
  }

  auto operator<=>(EngineTraits const &) const = default;
};

/// A service that routes refer to.
struct RoutedService {
  ServiceName Name_;
  std::string HealthPath_;
  std::uint32_t ConnectionLimit_ = 0; ///< Per server, over all callers.
  std::optional<EngineTraits> Engine_;
  std::optional<ScalingBounds> Scaling_;

  auto operator<=>(RoutedService const &) const = default;
};

enum class QuotaUnit { Requests, Tokens };

/// An account's quota over all entry instances.
struct AccountQuota {
  QuotaUnit Unit_ = QuotaUnit::Requests;
  double RatePerSecond_ = 0.0; ///< 0: no limit.
  double Burst_ = 0.0;
  double PlainTokens_ = 0.0; ///< Charged for requests without token counts.

  auto operator<=>(AccountQuota const &) const = default;
};

/// A client account as configured in the route table.
struct RoutedAccount {
  AccountName Name_;
  std::vector<std::string> Keys_;
  std::optional<std::int32_t> Rank_; ///< Overrides the route's priority.
  AccountQuota Quota_;

  auto operator<=>(RoutedAccount const &) const = default;
};

} // namespace laburnum
