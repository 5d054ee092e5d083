#pragma once

#include <LibCore/Result.h>
#include <LibModel/ConfigurationObject.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

enum class ChangeKind { Apply, Delete };

/// Who made one accepted change, and when.
struct ChangeRecord {
  ChangeId Change_;
  ChangeKind Kind_ = ChangeKind::Apply;
  std::string Operator_;
  std::int64_t UnixTime_ = 0;      ///< Seconds; the accepting instance's clock.
  Version ReplacedVersion_ = 0;    ///< The version that it was written over.
  std::string Specification_ = {}; ///< Without keys; a long one is cut.
  InstanceId Instance_ = {};       ///< That took the change.

  auto operator<=>(ChangeRecord const &) const = default;
};

/// The value of a configuration object in the platform: the specification and
/// its audit entries in one, so that neither is ever written without the other.
struct StoredConfiguration {
  std::string Specification_;
  bool IsDeleted_ = false;
  ChangeId LastChange_;
  std::vector<ChangeRecord> Audit_; ///< The newest last.
  std::uint64_t ArchivedPages_ = 0; ///< Objects that hold older entries.

  auto operator<=>(StoredConfiguration const &) const = default;
};

/// ConfigurationObject::ChangeVersion_ of the value.
Version changeVersionOf(StoredConfiguration const &Value);

std::string encodeStored(StoredConfiguration const &Value);
/// InvalidArgument when the text is not such a value.
Result<StoredConfiguration> decodeStored(std::string const &Json);

std::string encodeAuditPage(std::vector<ChangeRecord> const &Entries);
Result<std::vector<ChangeRecord>> decodeAuditPage(std::string const &Json);

/// The object that a platform's value stands for.
Result<ConfigurationObject> configurationObjectOf(ObjectKind Kind,
                                                  StoredObject const &Stored);

} // namespace laburnum
