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

enum class AnswerForm { Whole, EventStream };

/// Whether a second run of a request does harm.
enum class Repeatability {
  Never,      ///< At most one run.
  Repeatable, ///< Idempotent: may run again from the start.
  Resumable,  ///< A stream that another server can take up after an event.
};

enum class RouteAccess { KeyRequired, Anonymous };

/// A part of a route's traffic.
struct WeightedService {
  ServiceName Service_;
  std::uint32_t Weight_ = 0;

  auto operator<=>(WeightedService const &) const = default;
};

/// Which service answers the requests of a host and path, and on what terms.
struct Route {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_; ///< Begins and ends with a slash.
  AnswerForm Form_ = AnswerForm::Whole;
  Repeatability Repeatability_ = Repeatability::Never;
  RouteAccess Access_ = RouteAccess::KeyRequired;
  Duration Timeout_ = std::chrono::seconds(10); ///< To the end of the answer.
  Duration LatencyTarget_ = std::chrono::seconds(1); ///< To the first event.
  std::int32_t Rank_ = 0;                            ///< 0 is served first.
  std::uint32_t MaxAttempts_ = 1;
  std::vector<WeightedService> Services_;

  auto operator<=>(Route const &) const = default;
};

/// What a service's servers may be told to become.
struct ScalingBounds {
  std::uint32_t Minimum_ = 0; ///< Servers in each data centre.
  std::uint32_t Maximum_ = 0;
  Duration BootTime_{};
  /// What a reclaimable server costs, as a part of an on-demand one.
  double ReclaimablePrice_ = 1.0;
  std::map<DataCentre, double> Prices_; ///< Of a server, per second.

  auto operator<=>(ScalingBounds const &) const = default;
};

/// What a model engine has room for.
struct EngineTraits {
  std::uint32_t Slots_ = 0;
  std::uint64_t MemoryTokens_ = 0;

  auto operator<=>(EngineTraits const &) const = default;
};

/// A service behind routes.
struct RoutedService {
  ServiceName Name_;
  std::string HealthPath_;
  std::uint32_t ConnectionLimit_ = 0; ///< Of one server, from all callers.
  std::optional<EngineTraits> Engine_;
  std::optional<ScalingBounds> Scaling_;

  auto operator<=>(RoutedService const &) const = default;
};

enum class QuotaUnit { Requests, Tokens };

/// What an account may use over all entry instances together.
struct AccountQuota {
  QuotaUnit Unit_ = QuotaUnit::Requests;
  double RatePerSecond_ = 0.0; ///< 0: no limit.
  double Burst_ = 0.0;
  double PlainTokens_ = 0.0; ///< Charged for a request that names no tokens.

  auto operator<=>(AccountQuota const &) const = default;
};

/// A client account as the route table knows it.
struct RoutedAccount {
  AccountName Name_;
  std::vector<std::string> Keys_;
  std::optional<std::int32_t> Rank_; ///< Goes before the route's.
  AccountQuota Quota_;

  auto operator<=>(RoutedAccount const &) const = default;
};

} // namespace laburnum
