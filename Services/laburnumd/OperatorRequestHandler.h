#pragma once

#include "ControlPlane.h"

#include <LibAdmin/OperatorActions.h>
#include <LibFleet/ChangeWriter.h>
#include <LibMetrics/MetricsRegistry.h>

#include <functional>

namespace laburnum {

/// Handles operators' requests to this entry instance. Runs on the threads of
/// the RPC server.
class OperatorRequestHandler : public OperatorActions {
public:
  OperatorRequestHandler(InstanceId Self, ControlPlane &Plane,
                         TrafficView &View, ChangeWriter &Writer,
                         MetricsRegistry &Metrics,
                         std::function<void(Duration)> DrainSelf);

  Result<ChangeOutcome> applyService(OperatorChange const &Change,
                                     Service const &Value) override;
  Result<ChangeOutcome> applyAccount(OperatorChange const &Change,
                                     AccountChange const &Value) override;
  Result<ChangeOutcome> applyServer(OperatorChange const &Change,
                                    BackendServer const &Value) override;
  Result<ChangeOutcome> remove(OperatorChange const &Change,
                               ObjectName const &Name) override;
  Result<std::vector<ObjectView>>
  listObjects(ObjectQuery const &Query) override;
  Result<std::vector<InstanceView>> listInstances() override;
  Result<std::vector<ConfigurationInForce>> listConfigurationInForce() override;
  Result<std::vector<AuditEntry>>
  listAuditTrail(AuditQuery const &Query) override;
  Result<std::vector<ReclaimView>> listReclaims() override;
  Result<std::vector<MetricSnapshot>>
  readMetrics(std::string const &Prefix) override;
  Result<StatusView> readStatus() override;
  Result<Success> drain(DrainOrder const &Order) override;

private:
  Result<ChangeOutcome> write(OperatorChange const &Requested, ChangeKind Kind,
                              ObjectName const &Name,
                              std::string Specification);
  Result<ChangeOutcome> repeatedOrConflict(OperatorChange const &Requested,
                                           ConfigurationObject const &Stored);

  InstanceId const Self_;
  ControlPlane &Plane_;
  TrafficView &View_;
  ChangeWriter &Writer_;
  MetricsRegistry &Metrics_;
  std::function<void(Duration)> const DrainSelf_;
};

} // namespace laburnum
