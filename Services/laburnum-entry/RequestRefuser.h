#pragma once

#include "EntryMetrics.h"

#include <LibGuard/CrashGuard.h>
#include <LibHttp/Exchange.h>
#include <LibLog/EventLog.h>
#include <LibModel/ConfigurationObject.h>
#include <LibTraffic/AccountQuotaLimiter.h>
#include <LibTraffic/ExchangeFlow.h>
#include <LibTraffic/TrafficRequest.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace laburnum {

/// Answers requests that are not admitted, counts them and logs why.
class RequestRefuser {
public:
  /// All of them have to outlive the refuser.
  RequestRefuser(TrafficCodec const &Codec, EventLog &Log,
                 EntryMetrics &Metrics)
      : Codec_(Codec), Log_(Log), Metrics_(Metrics) {}

  /// Returns the reason to log when the crash guard refuses a request.
  static std::string_view reasonOf(CrashRefusal const &Refusal,
                                   RequestFingerprints const &Fingerprints);

  /// Configuration is 0 before the first one.
  void refuse(Exchange &Exchange, std::int32_t Status, std::string_view Reason,
              RequestMetadata const &Metadata, Version Configuration,
              std::optional<Duration> RetryAfter);
  void refuseOverQuota(Exchange &Exchange,
                       exchange::FlowContext const &FlowContext,
                       AccountQuotaLimiter const &Limiter, Duration RetryAfter);
  void refuseCrashing(Exchange &Exchange,
                      exchange::FlowContext const &FlowContext,
                      CrashRefusal const &Refusal, TimePoint Now);

private:
  TrafficCodec const &Codec_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
};

} // namespace laburnum
