#pragma once

#include <LibCore/Result.h>
#include <LibModel/ConfigurationObject.h>

#include <optional>
#include <string>

namespace laburnum {

/// This instance's copy of the object that an operator changes, if it has one.
using HeldObject = std::optional<ConfigurationObject>;

/// The version that the stored object must have for an operator's change to
/// apply. If the operator expects no object (0) and the object is deleted, it
/// is the version of the tombstone.
Version expectedVersion(Version Requested, HeldObject const &Held);

/// Whether the object is newer than the version that the operator expects.
bool isNewer(HeldObject const &Held, Version Expected);

/// What is retained of a client account's key if a change gives no new key.
struct RetainedKey {
  std::string Digest_;
  std::string Hint_;

  auto operator<=>(RetainedKey const &) const = default;
};

/// The key of the account at the version that the operator expects. Errors:
/// InvalidArgument (there is no such account); Unavailable (this instance does
/// not hold that version).
Result<RetainedKey> accountKeyAt(ObjectName const &Name, Version Expected,
                                 HeldObject const &Held);

} // namespace laburnum
