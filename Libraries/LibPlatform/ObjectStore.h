#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>

#include <string>
#include <vector>

namespace laburnum {

/// Where an object lies in the platform: a collection ("service", "account",
/// "server", "claims", "lease", "audit") and a name within it.
struct ObjectKey {
  std::string Collection_;
  std::string Name_;

  auto operator<=>(ObjectKey const &) const = default;
};

struct StoredObject {
  ObjectKey Key_;
  Version Version_ = 0; ///< 0 when there is no such object.
  std::string Value_;

  auto operator<=>(StoredObject const &) const = default;
};

/// Every object of a collection as of StoreVersion_.
struct ObjectList {
  Version StoreVersion_ = 0;
  std::vector<StoredObject> Objects_;

  auto operator<=>(ObjectList const &) const = default;
};

/// What a read of one object may show.
enum class ReadConsistency {
  Latest,
  MayLag, ///< A state that was current some seconds ago; costs less.
};

enum class WatchContinuity {
  Complete, ///< No change was passed over.
  Gap,      ///< Changes may be missing: list the collection again.
};

/// The changes of a collection after the version that was asked for.
struct WatchBatch {
  WatchContinuity Continuity_ = WatchContinuity::Complete;
  Version StoreVersion_ = 0; ///< Watch from here next.
  std::vector<StoredObject> Objects_;

  auto operator<=>(WatchBatch const &) const = default;
};

/// The platform's object API. Each call blocks for at most Timeout. Errors:
/// Conflict (the write was refused; Message_ names the present version),
/// Unavailable (nothing took effect), ResourceExhausted (the platform's or our
/// own rate limit; nothing took effect), OutcomeUnknown (a write whose answer
/// was lost: it may have taken effect; reading back settles it).
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// An absent object is a success with Version_ 0.
  virtual Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) = 0;

  virtual Result<ObjectList> list(std::string const &Collection,
                                  Duration Timeout) = 0;

  /// Writes Value if the object's version is still Expected (0: no object yet)
  /// and yields the new version. Sent once: a caller that repeats it decides.
  virtual Result<Version> putIf(ObjectKey const &Key, Version Expected,
                                std::string const &Value, Duration Timeout) = 0;

  /// Waits up to Wait for a change of the collection after From. An empty
  /// complete batch means that none came.
  virtual Result<WatchBatch> watch(std::string const &Collection, Version From,
                                   Duration Wait) = 0;
};

} // namespace laburnum
