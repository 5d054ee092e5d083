#pragma once

#include <LibPlatform/InstanceList.h>
#include <LibPlatform/PlatformConnection.h>

namespace laburnum {

/// The platform's instance list over HTTP. Errors: Unavailable,
/// ResourceExhausted. Thread-safe.
class HttpInstanceList : public InstanceList {
public:
  /// Connection must outlive this object.
  explicit HttpInstanceList(PlatformConnection &Connection)
      : Connection_(Connection) {}

  Result<InstanceListing> fetch(Duration Timeout) override;

private:
  PlatformConnection &Connection_;
};

} // namespace laburnum
