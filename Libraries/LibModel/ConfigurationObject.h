#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

/// The sorts of configuration objects that operators change.
enum class ObjectKind { Service, Account, Server };

/// "service", "account" or "server": the kind's name in the platform.
std::string toString(ObjectKind Kind);

/// The platform's version of an object: the store-wide number of the write
/// that made it. It only grows while the store lives. 0 means "no object".
using Version = std::uint64_t;

/// Names one configuration object.
struct ObjectName {
  ObjectKind Kind_ = ObjectKind::Service;
  std::string Name_;

  auto operator<=>(ObjectName const &) const = default;
};

/// One configuration object at one version. A deleted object stays as a
/// tombstone, so that an old version cannot come back.
struct ConfigurationObject {
  ObjectName Name_;
  Version Version_ = 0;
  bool IsDeleted_ = false;
  std::string Specification_; ///< JSON of the Service, ClientAccount or server.
  /// The least version that the object's last accepted change can have had;
  /// 0 when that is not known. Unlike Version_ it stays when the same value is
  /// written again.
  Version ChangeVersion_ = 0;

  auto operator<=>(ConfigurationObject const &) const = default;
};

} // namespace laburnum
