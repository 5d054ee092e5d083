#pragma once

#include <LibAdmin/AuditEntry.h>
#include <LibAdmin/OperatorViews.h>
#include <LibFleet/Member.h>
#include <LibFleet/ServerDirectory.h>
#include <LibFleet/StoredConfiguration.h>
#include <LibModel/Configuration.h>

#include <memory>
#include <optional>
#include <vector>

namespace laburnum {

/// The state from which the status is computed.
struct StatusInputs {
  InstanceId Self_;
  std::vector<Member> Members_;
  std::shared_ptr<Configuration const> Configuration_;
  std::shared_ptr<servers::Departures const> Departures_;
  Version ConfigurationVersion_ = 0;
  PlatformConnectivity Platform_ = PlatformConnectivity::Unreachable;
};

/// Summarizes the system's health, with a remedy for each problem found.
StatusView statusOf(StatusInputs const &Inputs);

/// Returns nothing if the object cannot be parsed.
std::optional<ObjectView> viewOf(ConfigurationObject const &Object);

InstanceView viewOf(BackendServer const &Server,
                    servers::Departures const &Departures);

AuditEntry auditEntryOf(ObjectName const &Name, ChangeRecord const &Record);

} // namespace laburnum
