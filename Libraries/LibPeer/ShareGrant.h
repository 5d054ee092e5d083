#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace laburnum {

/// The share of an account's limits that the receiver may grant.
struct AccountShare {
  AccountName Account_;
  std::uint32_t PartsPerMillion_ = 0;

  auto operator<=>(AccountShare const &) const = default;
};

/// Answers a DemandReport.
struct ShareGrant {
  std::vector<AccountShare> Shares_;
  Duration Valid_{}; ///< The receiver must not use the shares after this time.

  auto operator<=>(ShareGrant const &) const = default;
};

} // namespace laburnum
