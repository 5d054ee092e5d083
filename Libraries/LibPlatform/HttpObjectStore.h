#pragma once

#include <LibPlatform/ObjectStore.h>
#include <LibPlatform/PlatformConnection.h>

namespace laburnum {

/// The platform's object API over HTTP. In addition to the errors of
/// ObjectStore, a put fails with InvalidArgument when its value is too large or
/// not UTF-8. Thread-safe.
class HttpObjectStore : public ObjectStore {
public:
  /// Connection must outlive this object.
  explicit HttpObjectStore(PlatformConnection &Connection)
      : Connection_(Connection) {}

  Result<StoredObject> get(ObjectKey const &Key, Duration Timeout) override;
  Result<ObjectList> list(std::string const &Collection,
                          Duration Timeout) override;
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration Timeout) override;
  /// Blocks for at most Wait plus AnswerAllowance.
  Result<WatchBatch> watch(std::string const &Collection, Version From,
                           Duration Wait) override;

private:
  PlatformConnection &Connection_;
};

} // namespace laburnum
