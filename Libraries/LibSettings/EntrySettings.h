#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace laburnum {

/// What an entry instance on the platform is told before it starts.
struct EntrySettings {
  std::string Name_; ///< Of the instance, unique among those alive.
  DataCentre DataCentre_;
  std::map<DataCentre, std::string> Regions_; ///< Of every data centre.
  Endpoint Traffic_;                          ///< Clients connect here.
  Endpoint Readiness_;                        ///< The balancer asks here.
  Endpoint Metrics_;
  Endpoint Store_;
  Endpoint CloudApi_;
  Endpoint Peers_; ///< For messages between instances.

  Duration StopTime_{}; ///< From SIGTERM to SIGKILL.
  Duration LeaseLength_{};
  double RetryRatio_ = 0.0; ///< Sends beyond the first, per request.
  double RetrySlack_ = 0.0; ///< Beside these, per window.
  Duration RetryWindow_{};
  double QuotaOverrun_ = 0.0; ///< Part of a quota that may be used beyond it.
  double QuotaSlack_ = 0.0;   ///< In the quota's unit, beside that.
  Duration UsageWindow_{};
  Duration UsageDue_{}; ///< After the window's end.

  auto operator<=>(EntrySettings const &) const = default;
};

} // namespace laburnum
