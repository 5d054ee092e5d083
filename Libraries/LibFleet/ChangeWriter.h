#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibFleet/StoredConfiguration.h>
#include <LibModel/ConfigurationObject.h>
#include <LibPlatform/ObjectStore.h>

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// What an operator asks for.
struct Change {
  ChangeKind Change_ = ChangeKind::Apply;
  ObjectName Name_;
  std::string Specification_; ///< JSON; empty for Delete.
  ChangeId Id_;               ///< Not empty.
  /// The version that the operator saw; 0 for an object that never existed. A
  /// deleted object is expected at the version of its deletion.
  /// Empty: whatever is there now.
  std::optional<Version> Expected_;
  std::string Operator_;
  std::int64_t UnixTime_ = 0; ///< Seconds.
  InstanceId Instance_ = {};  ///< That takes the change.

  auto operator<=>(Change const &) const = default;
};

enum class Repeated { No, Yes };

/// An accepted change: the object as it is now in the platform.
struct AcceptedChange {
  ConfigurationObject Object_;
  /// Yes when the same change identifier had been accepted before.
  Repeated Repeated_ = Repeated::No;

  auto operator<=>(AcceptedChange const &) const = default;
};

/// Another change came first; nothing changed.
struct VersionConflict {
  Version Present_ = 0; ///< The version that the object is at.
  Error Error_;         ///< Of kind Conflict.

  auto operator<=>(VersionConflict const &) const = default;
};

/// What became of a change.
using ChangeResult = std::variant<AcceptedChange, VersionConflict, Error>;

/// A conflict counts as an error; errorOf() yields the one it carries.
bool isError(ChangeResult const &Outcome);
Error const &errorOf(ChangeResult const &Outcome);
AcceptedChange const &valueOf(ChangeResult const &Outcome);

/// Writes operators' changes to the platform, each with its audit entry in the
/// same conditional update. Blocks; for operators' threads, any number at once.
class ChangeWriter {
public:
  /// Timeout bounds each call of the platform.
  ChangeWriter(ObjectStore &Store, Duration Timeout)
      : Store_(Store), Timeout_(Timeout) {}

  /// Errors: InvalidArgument; NotFound (Delete of nothing); Unavailable or
  /// ResourceExhausted (nothing changed, nor will); OutcomeUnknown (send the
  /// same change identifier again). A change that was accepted before is
  /// repeated, whatever version it expects.
  ChangeResult apply(Change const &Asked);

  /// The object if the change was accepted before. Unavailable when the
  /// platform cannot tell, or shows a version older than AtLeast.
  Result<std::optional<AcceptedChange>>
  acceptedBefore(ObjectName const &Name, ChangeId const &Id, Version AtLeast);

  /// The newest Limit entries, the newest first. Errors are the platform's.
  Result<std::vector<ChangeRecord>> auditTrail(ObjectName const &Name,
                                               std::size_t Limit);

private:
  struct Present {
    Version Version_ = 0;
    StoredConfiguration Stored_;
    std::string Value_; ///< As read, for an unchanged rewrite.
  };

  /// What became of a write whose answer was lost.
  enum class Settlement {
    Accepted,    ///< It took effect.
    NeverWill,   ///< It did not, and its condition can't hold any more.
    StillUnknown ///< The platform could not be made to tell.
  };

  Result<Present> read(ObjectKey const &Key);
  Result<bool> wasAccepted(ObjectName const &Name, ChangeId const &Id,
                           Present const &Now);
  /// Empty: another change came between; read again and decide.
  std::optional<ChangeResult> attempt(Change const &Asked, Version &Refused);
  std::optional<ChangeResult> write(Change const &Asked, Present const &Before,
                                    Version &Refused);
  std::optional<ChangeResult> afterLostAnswer(Change const &Asked,
                                              Present const &Before);
  Settlement settle(Change const &Asked, Present const &Before);
  /// Moves the oldest entries to a page of their own when there are too many.
  Result<Success> archive(ObjectName const &Name, StoredConfiguration &Next);
  Result<Success> writePage(ObjectKey const &Key, std::string const &Value);
  Result<std::vector<ChangeRecord>> readPage(ObjectName const &Name,
                                             std::uint64_t Number);

  ObjectStore &Store_;
  Duration Timeout_;
};

} // namespace laburnum
