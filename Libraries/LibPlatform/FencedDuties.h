#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Result.h>
#include <LibPlatform/CloudApi.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace laburnum {

/// Who orders, and the number that grows with each new holder of the duty.
struct Fence {
  std::string Holder_;
  std::uint64_t Number_ = 0;

  auto operator<=>(Fence const &) const = default;
};

/// How many servers of one tenure a service should have in a data centre.
struct ServerOrder {
  ServiceName Service_;
  DataCentre DataCentre_;
  Tenure Tenure_ = Tenure::OnDemand;
  std::uint32_t Count_ = 0;

  auto operator<=>(ServerOrder const &) const = default;
};

/// Calls to the platform that one entry instance makes for all. Done is called
/// once. Errors: Conflict (a higher fence was seen, or there are no such
/// servers), ResourceExhausted (too many calls), Unavailable (nothing was
/// done), OutcomeUnknown.
class FencedDuties {
public:
  using Done = std::function<void(Result<Success>)>;

  virtual ~FencedDuties() = default;
  /// Counts of the requests of each account that began to run in the window.
  virtual void reportUsage(Fence const &Fence, std::int64_t Window,
                           std::map<AccountName, std::uint64_t> const &Counts,
                           Duration Timeout, Done Done) = 0;
  virtual void orderServers(Fence const &Fence, ServerOrder const &Order,
                            Duration Timeout, Done Done) = 0;
};

} // namespace laburnum
