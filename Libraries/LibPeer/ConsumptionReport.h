#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// Requests of an account admitted by one entry instance since its start, in
/// the unit of the account's quota. The counts are cumulative, so that a lost
/// report is made up for by the next one.
struct AccountConsumption {
  AccountName Account_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Asked_ = 0; ///< Requested, admitted or not.

  auto operator<=>(AccountConsumption const &) const = default;
};

/// The current demand for a service at one entry instance.
struct ServiceDemand {
  ServiceName Service_;
  std::uint32_t Running_ = 0; ///< Requests in progress on backend servers.
  std::uint32_t Waiting_ = 0; ///< Requests queued for a free slot.
  std::uint64_t Begun_ = 0;   ///< Requests received since the start.

  auto operator<=>(ServiceDemand const &) const = default;
};

/// Number of an account's requests started by one entry instance in a window.
struct WindowUsage {
  std::int64_t Window_ = 0;
  AccountName Account_;
  std::uint64_t Count_ = 0;

  auto operator<=>(WindowUsage const &) const = default;
};

/// Sent a few times a second to every other entry instance, or to the
/// collectors in a larger fleet.
struct ConsumptionReport {
  std::vector<AccountConsumption> Accounts_;
  std::vector<ServiceDemand> Services_;
  std::vector<WindowUsage> Usage_; ///< Of the current and previous window.
  Duration TimeOfDay_{};           ///< The sender's clock, since 1970.

  auto operator<=>(ConsumptionReport const &) const = default;
};

} // namespace laburnum
