#pragma once

#include "TrafficPlane.h"

#include <LibControl/EngineWorkExchange.h>
#include <LibControl/PeerNetwork.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive EngineWorkTasks.
struct EngineWorkDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  TrafficPlane &Traffic_;
  EventLog &Log_;
};

/// Exchanges the work at model servers with the other instances. Does nothing
/// unless the configuration has an engine whose slots do not show its load.
/// Runs on the control thread.
class EngineWorkTasks {
public:
  /// How reports reach the other instances.
  struct Routing {
    bool IsDirect_ = true; ///< Each instance reports to every other one.
    bool IsCollector_ = false;
    std::vector<Endpoint> Targets_; ///< Of this instance's reports.
  };

  EngineWorkTasks(EngineWorkDependencies Dependencies,
                  EntryInstance const &Self);

  void start(std::shared_ptr<PeerNetwork> Peers) { Peers_ = std::move(Peers); }
  void setTable(RouteTable const &Table);
  void setMembers(std::vector<Member> const &Members,
                  std::set<Endpoint> Collectors);
  /// Sends this instance's report. Called once in each period.
  void report(Routing const &Route, Duration Period);
  void onPeer(InstanceId const &From, EngineWorkReport const &Report);
  void onPeer(EngineWorkSum const &Sum);
  /// What all instances' requests for the service ask of its servers, as far as
  /// it is known here.
  std::optional<ServiceWork> work(ServiceName const &Service,
                                  TimePoint Now) const;

private:
  void send(EngineWorkReport const &Report, Routing const &Route);
  /// Takes in the sum of the instances' reports.
  void apply(EngineWorkSum const &Sum);

  EngineWorkDependencies Dependencies_;
  EntryInstance const Self_;
  EngineWorkExchange Exchange_;
  std::shared_ptr<PeerNetwork> Peers_;
  bool IsEnabled_ = false;
  std::vector<ServiceWork> Services_;
  TimePoint AppliedAt_ = TimePoint::min();
};

} // namespace laburnum
