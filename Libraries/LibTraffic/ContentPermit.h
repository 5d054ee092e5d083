#pragma once

#include <LibGuard/CrashGuard.h>
#include <LibTraffic/ExchangeFlow.h>

namespace laburnum {

/// Allows a retry where the budget does, unless the content is refused for the
/// servers that crashed under it.
class ContentPermit : public exchange::RetryPermit {
public:
  ContentPermit(exchange::RetryPermit &Budget, CrashGuard const &Guard,
                std::uint64_t Fingerprint)
      : Budget_(Budget), Guard_(Guard), Fingerprint_(Fingerprint) {}

  bool tryTake(ServiceName const &Service, TimePoint Now) override {
    return Guard_.verdict(Fingerprint_, Now) != CrashVerdict::Refuse &&
           Budget_.tryTake(Service, Now);
  }

private:
  exchange::RetryPermit &Budget_;
  CrashGuard const &Guard_;
  std::uint64_t const Fingerprint_;
};

} // namespace laburnum
