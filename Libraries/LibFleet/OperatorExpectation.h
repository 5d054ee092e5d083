#pragma once

#include <LibCore/Result.h>
#include <LibModel/ConfigurationObject.h>

#include <optional>
#include <string>

namespace laburnum {

/// Held is what this instance has of the object that an operator changes.
using HeldObject = std::optional<ConfigurationObject>;

/// The version that the platform's object must be at for an operator's change.
/// An operator who expects no object (0) also means a deleted one.
Version expectedVersion(Version Asked, HeldObject const &Held);

/// Whether the object has passed the version that the operator expects.
bool isNewer(HeldObject const &Held, Version Expected);

/// What is kept of a client account's key when a change gives no new one.
struct KeptKey {
  std::string Digest_;
  std::string Hint_;

  auto operator<=>(KeptKey const &) const = default;
};

/// The key of the account at the version that the operator expects. Errors:
/// InvalidArgument (there is no such account); Unavailable (this instance has
/// not got that version).
Result<KeptKey> accountKeyAt(ObjectName const &Name, Version Expected,
                             HeldObject const &Held);

} // namespace laburnum
