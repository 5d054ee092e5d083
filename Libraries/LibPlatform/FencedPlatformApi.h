#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Result.h>
#include <LibPlatform/CloudApi.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace laburnum {

/// The lease holder that makes a call, and the fencing number of its lease,
/// which grows with each new holder.
struct Fence {
  std::string Holder_;
  std::uint64_t Number_ = 0;

  auto operator<=>(Fence const &) const = default;
};

/// How many servers of one capacity type a service should have in a data
/// centre.
struct ServerOrder {
  ServiceName Service_;
  DataCentre DataCentre_;
  CapacityType CapacityType_ = CapacityType::OnDemand;
  std::uint32_t Count_ = 0;

  auto operator<=>(ServerOrder const &) const = default;
};

/// Calls to the platform that only the lease holder makes, on behalf of all
/// entry instances. Done is called once. Errors: Conflict (the platform has
/// seen a higher fencing number, or there are no such servers),
/// ResourceExhausted (too many calls), Unavailable (nothing took effect),
/// OutcomeUnknown.
class FencedPlatformApi {
public:
  using Done = std::function<void(Result<Success>)>;

  virtual ~FencedPlatformApi() = default;
  /// Reports how many requests of each account began to run in the window.
  virtual void reportUsage(Fence const &Fence, std::int64_t Window,
                           std::map<AccountName, std::uint64_t> const &Counts,
                           Duration Timeout, Done Done) = 0;
  virtual void orderServers(Fence const &Fence, ServerOrder const &Order,
                            Duration Timeout, Done Done) = 0;
};

} // namespace laburnum
