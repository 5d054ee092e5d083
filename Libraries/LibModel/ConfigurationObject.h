#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// The kinds of configuration objects that operators change.
enum class ObjectKind { Service, Account, Server };

/// Returns "service", "account" or "server", the kind's name on the platform.
std::string toString(ObjectKind Kind);

/// The version of an object on the platform: the store-wide number of the write
/// that created it. It never decreases during the lifetime of the store. 0
/// means "no object".
using Version = std::uint64_t;

/// Identifies a configuration object.
struct ObjectName {
  ObjectKind Kind_ = ObjectKind::Service;
  std::string Name_;

  auto operator<=>(ObjectName const &) const = default;
};

/// A configuration object at one version. A deleted object is kept as a
/// tombstone, so that an old version cannot reappear.
struct ConfigurationObject {
  ObjectName Name_;
  Version Version_ = 0;
  bool IsDeleted_ = false;
  /// JSON of the Service, ClientAccount or BackendServer.
  std::string Specification_;
  /// A lower bound of the version of the object's last accepted change; 0 when
  /// unknown. Unlike Version_ it does not change when the same value is written
  /// again.
  Version ChangeVersion_ = 0;

  auto operator<=>(ConfigurationObject const &) const = default;
};

} // namespace laburnum
