#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/ConfigurationObject.h>
#include <LibPlatform/StoreEra.h>

#include <string>
#include <vector>

namespace laburnum {

/// The key of an object in the platform's store: a collection ("service",
/// "account", "server", "claims", "lease", "audit") and a name within it.
struct ObjectKey {
  std::string Collection_;
  std::string Name_;

  auto operator<=>(ObjectKey const &) const = default;
};

struct StoredObject {
  ObjectKey Key_;
  Version Version_ = 0; ///< 0 when there is no such object.
  std::string Value_;
  /// Era of the store that answered, also when there is no such object.
  StoreEra Era_ = 0;

  auto operator<=>(StoredObject const &) const = default;
};

/// Every object of a collection as of StoreVersion_.
struct ObjectList {
  Version StoreVersion_ = 0;
  std::vector<StoredObject> Objects_;

  auto operator<=>(ObjectList const &) const = default;
};

/// The consistency required of a read.
enum class ReadConsistency {
  Latest,
  MayLag, ///< May return a state some seconds old; costs less.
};

enum class WatchContinuity {
  Complete, ///< No change is missing.
  Gap,      ///< Changes may be missing: list the collection again.
};

/// The changes of a collection after the requested version.
struct WatchBatch {
  WatchContinuity Continuity_ = WatchContinuity::Complete;
  Version StoreVersion_ = 0; ///< From of the next call of watch().
  std::vector<StoredObject> Objects_;

  auto operator<=>(WatchBatch const &) const = default;
};

/// The platform's object API. Each call blocks for at most Timeout. Errors:
/// Conflict (the write was rejected; Message_ contains the present version),
/// Unavailable (nothing took effect), ResourceExhausted (rejected by the
/// platform's or the local rate limit; nothing took effect), OutcomeUnknown
/// (the answer to a write was lost: it may have taken effect, which a read
/// resolves).
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Succeeds with Version_ 0 if there is no such object.
  virtual Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) = 0;

  virtual Result<ObjectList> list(std::string const &Collection,
                                  Duration Timeout) = 0;

  /// Writes Value if the object's version is still Expected (0: no object yet)
  /// and returns the new version. Never retried: that is for the caller to
  /// decide.
  virtual Result<Version> putIf(ObjectKey const &Key, Version Expected,
                                std::string const &Value, Duration Timeout) = 0;

  /// Waits up to Wait for a change of the collection after From. An empty
  /// complete batch means that there was none.
  virtual Result<WatchBatch> watch(std::string const &Collection, Version From,
                                   Duration Wait) = 0;
};

} // namespace laburnum
