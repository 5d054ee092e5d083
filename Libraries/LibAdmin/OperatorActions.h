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

/// Selects audit entries. No kind and an empty name select all.
struct AuditQuery {
  std::optional<ObjectKind> Kind_;
  std::string Name_;
  std::uint32_t Limit_ = 100; ///< Maximum number of entries, newest first.

  auto operator<=>(AuditQuery const &) const = default;
};

/// The instance or server to drain, and the time limit.
struct DrainOrder {
  ServerId Server_;   ///< Empty: the entry instance that is called.
  Duration Within_{}; ///< Zero: the daemon's configured drain time.
  std::string OperatorName_;

  auto operator<=>(DrainOrder const &) const = default;
};

/// The operations available to operators, one function for each call of the
/// gRPC service. The daemon implements it and OperatorServer calls it, from
/// several threads concurrently; calls may block on the platform. Arguments are
/// validated and the operator is authenticated beforehand.
///
/// A change that conflicts with another is a success with the verdict Conflict
/// and the current version. After OutcomeUnknown, the caller resolves the
/// outcome by sending the change again with the same identifier.
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

  /// Objects sorted by name; NotFound if the query names one that is missing.
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
