#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

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

/// Requests of an account that began to run at one entry instance in a window.
struct WindowUsage {
  std::int64_t Window_ = 0;
  AccountName Account_;
  std::uint64_t Count_ = 0;

  auto operator<=>(WindowUsage const &) const = default;
};

/// Sent to every other entry instance a few times a second.
struct ConsumptionReport {
  std::vector<AccountConsumption> Accounts_;
  std::vector<ServiceDemand> Services_;
  std::vector<WindowUsage> Usage_; ///< Of this window and the one before.
  Duration TimeOfDay_{};           ///< The sender's own, since 1970.

  auto operator<=>(ConsumptionReport const &) const = default;
};

} // namespace laburnum
