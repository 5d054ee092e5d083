#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// Usage limits of an account, over all entry instances together.
struct AccountLimits {
  double RequestsPerSecond_ = 100.0;
  double TokensPerSecond_ = 100000.0; ///< Requested output tokens.
  std::uint32_t ConcurrentRequests_ = 1000;

  auto operator<=>(AccountLimits const &) const = default;
};

/// A client account with its key and its limits. Only a digest of the key is
/// stored, so that the key can neither be logged nor shown.
struct ClientAccount {
  AccountName Name_;
  std::string KeyDigest_; ///< keyDigest() of the account's key.
  std::string KeyHint_;   ///< The key's last four characters.
  AccountLimits Limits_;
  double Worth_ = 1.0;                ///< Value of one completed request.
  std::vector<ServiceName> Services_; ///< Empty means all services.

  auto operator<=>(ClientAccount const &) const = default;
};

/// Returns the digest under which a key is stored and looked up: SHA-256 in
/// hexadecimal. Keys are long random strings, so no salt is needed.
std::string keyDigest(std::string const &Key);

} // namespace laburnum
