#pragma once

#include <LibCore/Result.h>
#include <LibModel/ConfigurationObject.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

enum class ChangeKind { Apply, Delete };

/// The audit entry of an accepted change.
struct ChangeRecord {
  ChangeId Change_;
  ChangeKind Kind_ = ChangeKind::Apply;
  std::string Operator_;
  std::int64_t UnixTime_ = 0;      ///< Seconds; the accepting instance's clock.
  Version ReplacedVersion_ = 0;    ///< The version that it replaced.
  std::string Specification_ = {}; ///< Without keys; truncated if long.
  InstanceId Instance_ = {};       ///< The instance that received the change.

  auto operator<=>(ChangeRecord const &) const = default;
};

/// The value of a configuration object in the platform: the specification
/// together with its audit entries, so that they are always written atomically.
struct StoredConfiguration {
  std::string Specification_;
  bool IsDeleted_ = false;
  ChangeId LastChange_;
  std::vector<ChangeRecord> Audit_; ///< Newest last.
  std::uint64_t ArchivedPages_ = 0; ///< The number of pages of older entries.

  auto operator<=>(StoredConfiguration const &) const = default;
};

/// ConfigurationObject::ChangeVersion_ of the value.
Version changeVersionOf(StoredConfiguration const &Value);

std::string encodeStored(StoredConfiguration const &Value);
/// InvalidArgument if the text is not an encoded StoredConfiguration.
Result<StoredConfiguration> decodeStored(std::string const &Json);

std::string encodeAuditPage(std::vector<ChangeRecord> const &Entries);
Result<std::vector<ChangeRecord>> decodeAuditPage(std::string const &Json);

/// Decodes an object as stored in the platform.
Result<ConfigurationObject> configurationObjectOf(ObjectKind Kind,
                                                  StoredObject const &Stored);

} // namespace laburnum
