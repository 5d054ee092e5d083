#pragma once

#include "EntryMetrics.h"

#include <LibControl/CapacityPlanner.h>
#include <LibControl/DemandView.h>
#include <LibControl/LeaseDriver.h>
#include <LibControl/UsageReporter.h>
#include <LibLog/EventLog.h>
#include <LibSettings/EntrySettings.h>
#include <LibTraffic/RouteTable.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnum {

/// Whether this instance has demand reports of all instances or of some.
enum class PeerCoverage { AllInstances, SomeInstances };

/// Tasks that one entry instance at a time performs for the fleet: acquires and
/// renews the lease, reports usage and orders servers. Runs on the control
/// thread.
class LeaseHolderTasks {
public:
  struct Dependencies {
    EntrySettings const &Settings_;
    AsyncObjectStore &Store_;
    FencedPlatformApi &PlatformApi_;
    UsageCounter &Usage_;
    EventLog &Log_;
    EntryMetrics &Metrics_;
    /// Returns what the requests for a service ask of its model servers.
    std::function<std::optional<ServiceWork>(ServiceName const &, TimePoint)>
        WorkOf_;
  };

  LeaseHolderTasks(Dependencies Dependencies, InstanceId const &Incarnation,
                   std::uint64_t Seed);

  /// Must be called at least five times a second.
  void tick(TimePoint Now, Duration MedianTime, PeerCoverage Coverage);
  void setMembers(std::vector<Member> const &Members, TimePoint Now);
  void onStoreRestored() { Reporter_->onStoreRestored(); }
  void setTable(std::shared_ptr<RouteTable const> Table);
  void replaceServers(std::vector<ServerRecord> const &Records);
  void updateServer(ServerRecord const &Record);
  void removeServer(ServerId const &Id);
  void onReport(InstanceId const &From, ConsumptionReport const &Report,
                TimePoint Now, Duration MedianTime);
  void setConnectivity(PeerConnectivity Connectivity) {
    Reporter_->setConnectivity(Connectivity);
  }
  double demandAt(InstanceId const &Instance, TimePoint Now) const {
    return Demand_.perSecondAt(Instance, Now);
  }
  void setReportPeriod(Duration Period) { Demand_.setPeriod(Period); }
  bool holdsLease(TimePoint Now) const { return Lease_->held(Now).has_value(); }
  /// The lease's fencing number, while this instance holds it.
  std::optional<std::uint64_t> fenceNumber(TimePoint Now) const {
    auto const Held = Lease_->held(Now);
    return Held ? std::optional(Held->Fencing_) : std::nullopt;
  }
  std::vector<ServerRecord> servers() const {
    std::vector<ServerRecord> List;
    for (auto const &[Id, Record] : Servers_)
      List.push_back(Record);
    return List;
  }
  /// Publishes the usage counts that only this instance has, then calls Done.
  void publishUsage(std::function<void()> Done) {
    Reporter_->publishAll(std::move(Done));
  }

private:
  std::optional<Fence> fence(TimePoint Now) const;
  void onLease(std::optional<HeldLease> const &Held);
  /// Updates the capacity plans. Sends orders only if Held has a value.
  void planCapacity(std::optional<Fence> const &Held, TimePoint Now);
  void order(Fence const &Fence, ServerOrder const &Order);

  Dependencies Dependencies_;
  std::shared_ptr<LeaseDriver> Lease_;
  std::shared_ptr<UsageReporter> Reporter_;
  std::shared_ptr<RouteTable const> Table_;
  std::map<ServerId, ServerRecord> Servers_;
  DemandView Demand_;
  std::map<ServiceName, CapacityPlanner> Planners_;
  std::uint64_t LastFence_ = 0; ///< Fencing number last logged; 0: not held.
};

} // namespace laburnum
