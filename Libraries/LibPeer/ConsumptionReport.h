#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// What one entry instance has admitted of an account's requests since it
/// started, in the unit of the account's quota. The counts only grow, so that
/// a lost report is made good by the next one.
struct AccountConsumption {
  AccountName Account_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Asked_ = 0; ///< Admitted or not.

  auto operator<=>(AccountConsumption const &) const = default;
};

/// What one entry instance has of a service's requests at this moment.
struct ServiceDemand {
  ServiceName Service_;
  std::uint32_t Running_ = 0; ///< Sent to backend servers and not ended.
  std::uint32_t Waiting_ = 0; ///< For a place at one.
  std::uint64_t Begun_ = 0;   ///< Requests that came since the start.

  auto operator<=>(ServiceDemand const &) const = default;
};

/// Sent to every other entry instance a few times a second.
struct ConsumptionReport {
  std::vector<AccountConsumption> Accounts_;
  std::vector<ServiceDemand> Services_;

  auto operator<=>(ConsumptionReport const &) const = default;
};

} // namespace laburnum
