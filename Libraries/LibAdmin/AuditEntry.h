#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/ConfigurationObject.h>

#include <cstdint>
#include <string>

namespace laburnum {

enum class ChangeAction { Apply, Delete };

/// One accepted change: who asked for what, when, and through which instance.
struct AuditEntry {
  ChangeId ChangeId_;
  std::string OperatorName_;
  std::int64_t UnixTimeMilliseconds_ = 0;
  ObjectName Object_;
  Version ExpectedVersion_ = 0;
  std::string Specification_; ///< The new value as JSON, without keys.
  ChangeAction Action_ = ChangeAction::Apply;
  InstanceId Instance_;

  auto operator<=>(AuditEntry const &) const = default;
};

} // namespace laburnum
