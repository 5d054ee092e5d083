#pragma once

#include <LibGuard/CrashGuard.h>
#include <LibTraffic/ExchangeFlow.h>

#include <utility>

namespace laburnum {

/// Allows a retry if the retry budget does and the crash guard does not refuse
/// the request.
class ContentRetryGate : public exchange::RetryGate {
public:
  ContentRetryGate(exchange::RetryGate &Budget, CrashGuard const &Guard,
                   RequestFingerprints Fingerprints)
      : Budget_(Budget), Guard_(Guard), Fingerprints_(std::move(Fingerprints)) {
  }

  bool tryTake(ServiceName const &Service, TimePoint Now) override {
    return !Guard_.refusal(Fingerprints_, Now) && Budget_.tryTake(Service, Now);
  }

private:
  exchange::RetryGate &Budget_;
  CrashGuard const &Guard_;
  RequestFingerprints const Fingerprints_;
};

} // namespace laburnum
