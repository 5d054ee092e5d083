#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace laburnum {

/// Start-up settings of an entry instance on the platform.
struct EntrySettings {
  std::string Name_; ///< Unique among the running instances.
  DataCentre DataCentre_;
  std::map<DataCentre, std::string> Regions_; ///< The region of each.
  Endpoint Traffic_;                          ///< For client requests.
  Endpoint Readiness_; ///< For the load balancer's readiness checks.
  Endpoint Metrics_;
  Endpoint Store_;
  Endpoint CloudApi_;
  Endpoint Peers_; ///< For messages between instances.

  std::uint64_t MemoryBytes_ = 0; ///< Of the machine; 0: not stated.
  std::uint32_t Descriptors_ = 0; ///< Of the process; 0: not stated.
  /// Whether the operator may order software versions to be rolled out.
  bool FollowsRollouts_ = false;
  Duration StopGracePeriod_{}; ///< From SIGTERM to SIGKILL.
  Duration LeaseLength_{};
  double RetryRatio_ = 0.0; ///< Retries allowed per request.
  double RetrySlack_ = 0.0; ///< Retries allowed per window in addition.
  Duration RetryWindow_{};
  /// Usage above a quota that is tolerated, as a share of the quota.
  double QuotaRateTolerance_ = 0.0;
  /// Usage tolerated in addition, in the quota's unit.
  double QuotaBurstTolerance_ = 0.0;
  Duration UsageWindow_{};
  /// Time after a window's end by which its usage is reported.
  Duration UsageReportDelay_{};

  auto operator<=>(EntrySettings const &) const = default;
};

} // namespace laburnum
