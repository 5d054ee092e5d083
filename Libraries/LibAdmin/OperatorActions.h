#pragma once

#include <LibAdmin/AuditEntry.h>
#include <LibAdmin/OperatorChange.h>
#include <LibAdmin/OperatorViews.h>
#include <LibCore/Result.h>
#include <LibMetrics/MetricSnapshot.h>

#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Which audit entries are asked for. No kind and an empty name mean all.
struct AuditQuery {
  std::optional<ObjectKind> Kind_;
  std::string Name_;
  std::uint32_t Limit_ = 100; ///< At most this many, the newest first.

  auto operator<=>(AuditQuery const &) const = default;
};

/// What is to be drained and within which time.
struct DrainOrder {
  ServerId Server_;   ///< Empty means the entry instance that is asked.
  Duration Within_{}; ///< Zero: as long as the daemon's settings say.
  std::string OperatorName_;

  auto operator<=>(DrainOrder const &) const = default;
};

/// All that operators can ask for, one function for each call of the gRPC
/// service. The daemon implements it and OperatorServer calls it. Calls come
/// from several threads at once and may block on the platform. The arguments
/// are checked and the operator is authenticated.
///
/// A change that lost against another is a success with the verdict Conflict
/// and the present version. OutcomeUnknown means that sending the change again
/// with the same identifier settles it.
class OperatorActions {
public:
  virtual ~OperatorActions() = default;

  virtual Result<ChangeOutcome> applyService(OperatorChange const &Change,
                                             Service const &Value) = 0;
  virtual Result<ChangeOutcome> applyAccount(OperatorChange const &Change,
                                             AccountChange const &Value) = 0;
  virtual Result<ChangeOutcome> applyServer(OperatorChange const &Change,
                                            BackendServer const &Value) = 0;
  virtual Result<ChangeOutcome> remove(OperatorChange const &Change,
                                       ObjectName const &Name) = 0;

  /// Objects sorted by name; NotFound when a name is given that is not there.
  virtual Result<std::vector<ObjectView>>
  listObjects(ObjectQuery const &Query) = 0;
  virtual Result<std::vector<InstanceView>> listInstances() = 0;
  virtual Result<std::vector<ConfigurationInForce>>
  listConfigurationInForce() = 0;
  virtual Result<std::vector<AuditEntry>>
  listAuditTrail(AuditQuery const &Query) = 0;
  virtual Result<std::vector<ReclaimView>> listReclaims() = 0;

  /// Metrics whose names start with the prefix, sorted by name.
  virtual Result<std::vector<MetricSnapshot>>
  readMetrics(std::string const &Prefix) = 0;
  virtual Result<StatusView> readStatus() = 0;

  virtual Result<Success> drain(DrainOrder const &Order) = 0;
};

} // namespace laburnum
