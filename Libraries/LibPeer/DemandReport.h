#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// Recent demand of one account at one entry instance.
struct AccountDemand {
  AccountName Account_;
  std::uint64_t RequestsPerSecond_ = 0;
  std::uint64_t TokensPerSecond_ = 0;

  auto operator<=>(AccountDemand const &) const = default;
};

/// Sent to the instance that divides these accounts' limits.
struct DemandReport {
  std::vector<AccountDemand> Demands_;

  auto operator<=>(DemandReport const &) const = default;
};

} // namespace laburnum
