#pragma once

#include <LibControl/RolloutController.h>
#include <LibCore/Result.h>
#include <LibPlatform/ObjectStore.h>
#include <LibTraffic/RouteTable.h>
#include <LibTraffic/ServerRecord.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace laburnum {

/// Decodes the platform's configuration and server records.
class RecordCodec {
public:
  virtual ~RecordCodec() = default;
  virtual std::string configurationCollection() const = 0;
  virtual std::string serverCollection() const = 0;
  /// Returns nullptr when the object is not this system's configuration.
  virtual Result<std::shared_ptr<RouteTable const>>
  decodeConfiguration(StoredObject const &Object) const = 0;
  virtual std::string rolloutCollection() const = 0;
  /// Returns the order to roll a software version out, or what is wrong with
  /// it.
  virtual std::variant<RolloutOrder, std::string>
  decodeRollout(StoredObject const &Object) const = 0;
  virtual std::string encodeRolloutStatus(std::string const &Target,
                                          RolloutStage Stage) const = 0;
  /// Returns nothing when the object does not describe a usable server.
  virtual std::optional<ServerRecord>
  decodeServer(StoredObject const &Object) const = 0;
};

} // namespace laburnum
