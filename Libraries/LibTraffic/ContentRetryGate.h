#pragma once

#include <LibGuard/CrashGuard.h>
#include <LibTraffic/ExchangeFlow.h>

namespace laburnum {

/// Allows a retry if the retry budget does and the crash guard does not refuse
/// the request's content.
class ContentRetryGate : public exchange::RetryGate {
public:
  ContentRetryGate(exchange::RetryGate &Budget, CrashGuard const &Guard,
                   std::uint64_t Fingerprint)
      : Budget_(Budget), Guard_(Guard), Fingerprint_(Fingerprint) {}

  bool tryTake(ServiceName const &Service, TimePoint Now) override {
    return Guard_.verdict(Fingerprint_, Now) != CrashVerdict::Refuse &&
           Budget_.tryTake(Service, Now);
  }

private:
  exchange::RetryGate &Budget_;
  CrashGuard const &Guard_;
  std::uint64_t const Fingerprint_;
};

} // namespace laburnum
