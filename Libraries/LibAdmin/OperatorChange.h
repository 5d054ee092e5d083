#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ClientAccount.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/Service.h>

#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Identifies a change, its operator and the version that it replaces. A
/// request that repeats the identifier is the same change.
struct OperatorChange {
  ChangeId Id_;
  Version Expected_ = 0;     ///< 0: the object must not exist yet.
  std::string OperatorName_; ///< Empty at the client; the server fills it in.

  auto operator<=>(OperatorChange const &) const = default;
};

/// The stored form of an account's key.
struct AccountKey {
  std::string Digest_; ///< keyDigest() of the key.
  std::string Hint_;   ///< The key's last four characters.

  auto operator<=>(AccountKey const &) const = default;
};

/// An account's new value. Without a new key the current one is kept; a new
/// account needs a key.
struct AccountChange {
  AccountName Name_;
  std::optional<AccountKey> NewKey_;
  AccountLimits Limits_;
  double Worth_ = 1.0;
  std::vector<ServiceName> Services_; ///< Empty means all services.

  auto operator<=>(AccountChange const &) const = default;
};

enum class ChangeVerdict {
  Accepted,
  Repeated, ///< Accepted earlier, which resulted in Version_.
  Conflict, ///< Refused: the object is at Version_, not at the expected one.
};

struct ChangeOutcome {
  ChangeVerdict Verdict_ = ChangeVerdict::Accepted;
  Version Version_ = 0;

  auto operator<=>(ChangeOutcome const &) const = default;
};

} // namespace laburnum
