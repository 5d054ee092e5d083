#pragma once

#include <LibCore/Identifier.h>
#include <LibModel/ConfigurationObject.h>

#include <cstdint>
#include <string>

namespace laburnum {

enum class ChangeAction { Apply, Delete };

/// An accepted change: its operator, content and time, and the entry instance
/// that accepted it.
struct AuditEntry {
  ChangeId ChangeId_;
  std::string OperatorName_;
  std::int64_t UnixTimeMilliseconds_ = 0;
  ObjectName Object_;
  Version ExpectedVersion_ = 0;
  std::string Specification_; ///< The new value as JSON, without API keys.
  ChangeAction Action_ = ChangeAction::Apply;
  InstanceId Instance_;

  auto operator<=>(AuditEntry const &) const = default;
};

} // namespace laburnum
