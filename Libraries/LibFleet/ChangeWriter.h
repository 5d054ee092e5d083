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

/// An operator's change of one configuration object.
struct Change {
  ChangeKind Change_ = ChangeKind::Apply;
  ObjectName Name_;
  std::string Specification_; ///< JSON; empty for Delete.
  ChangeId Id_;               ///< Not empty.
  /// The version that the operator expects to replace; 0 for an object that
  /// never existed. A deleted object is expected at the version of its
  /// deletion. Empty: any version.
  std::optional<Version> Expected_;
  std::string Operator_;
  std::int64_t UnixTime_ = 0; ///< Seconds.
  InstanceId Instance_ = {};  ///< The instance that received the change.

  auto operator<=>(Change const &) const = default;
};

enum class Repeated { No, Yes };

/// An accepted change: the object as now stored in the platform.
struct AcceptedChange {
  ConfigurationObject Object_;
  /// Yes when the same change identifier had been accepted before.
  Repeated Repeated_ = Repeated::No;

  auto operator<=>(AcceptedChange const &) const = default;
};

/// The object is not at the expected version; nothing changed.
struct VersionConflict {
  Version CurrentVersion_ = 0; ///< The version that the object is at.
  Error Error_;                ///< Of kind Conflict.

  auto operator<=>(VersionConflict const &) const = default;
};

/// The outcome of a change.
using ChangeResult = std::variant<AcceptedChange, VersionConflict, Error>;

/// A conflict counts as an error; errorOf() returns its Error_.
bool isError(ChangeResult const &Outcome);
Error const &errorOf(ChangeResult const &Outcome);
AcceptedChange const &valueOf(ChangeResult const &Outcome);

/// Writes operators' changes to the platform, each together with its audit
/// entry in one conditional update. Its calls block; any number of threads that
/// serve operators may use it at once.
class ChangeWriter {
public:
  /// Timeout bounds each call to the platform.
  ChangeWriter(ObjectStore &Store, Duration Timeout)
      : Store_(Store), Timeout_(Timeout) {}

  /// Applies the change. Errors: InvalidArgument; NotFound (deletion of an
  /// object that does not exist); Unavailable or ResourceExhausted (nothing
  /// changed and nothing will); OutcomeUnknown (send the same change identifier
  /// again). A change that was accepted before is reported as repeated,
  /// whatever version it expects.
  ChangeResult apply(Change const &Requested);

  /// The object if the change was accepted before, otherwise empty. Unavailable
  /// if the platform cannot be read or shows a version older than AtLeast.
  Result<std::optional<AcceptedChange>>
  acceptedBefore(ObjectName const &Name, ChangeId const &Id, Version AtLeast);

  /// The latest Limit audit entries, newest first. Errors are the platform's.
  Result<std::vector<ChangeRecord>> auditTrail(ObjectName const &Name,
                                               std::size_t Limit);

private:
  struct CurrentObject {
    Version Version_ = 0;
    StoredConfiguration Stored_;
    std::string Value_; ///< As read, to be rewritten unchanged.
  };

  /// The resolved outcome of a write whose answer was lost.
  enum class WriteResolution {
    Accepted,   ///< It took effect.
    NotApplied, ///< It did not, and its condition can no longer hold.
    Unknown     ///< The outcome could not be determined.
  };

  Result<CurrentObject> read(ObjectKey const &Key);
  Result<bool> wasAccepted(ObjectName const &Name, ChangeId const &Id,
                           CurrentObject const &Now);
  /// Empty if a concurrent change intervened: read again and decide.
  std::optional<ChangeResult> attempt(Change const &Requested,
                                      Version &MinVersion);
  std::optional<ChangeResult> write(Change const &Requested,
                                    CurrentObject const &Before,
                                    Version &MinVersion);
  std::optional<ChangeResult> afterLostAnswer(Change const &Requested,
                                              CurrentObject const &Before);
  WriteResolution resolveWrite(Change const &Requested,
                               CurrentObject const &Before);
  /// Moves the oldest audit entries to a separate page if there are too many.
  Result<Success> archive(ObjectName const &Name, StoredConfiguration &Next);
  Result<Success> writePage(ObjectKey const &Key, std::string const &Value);
  Result<std::vector<ChangeRecord>> readPage(ObjectName const &Name,
                                             std::uint64_t Number);

  ObjectStore &Store_;
  Duration Timeout_;
};

} // namespace laburnum
