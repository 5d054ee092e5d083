#pragma once

#include "CpuMeter.h"
#include "ModelNode.h"
#include "ModelPlatform.h"
#include "VirtualTime.h"
#include "Wire.h"

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnum::bench {

struct FleetShape {
  std::uint32_t Members_ = 8;
  std::uint32_t Servers_ = 65;
  std::uint32_t DataCentres_ = 8; ///< Half of them in each region.

  auto operator<=>(FleetShape const &) const = default;
};

/// Simulates many control planes in one process and virtual time, connected by
/// a simulated network.
class FleetModel : private ModelNetwork {
public:
  FleetModel(FleetShape Shape, std::uint64_t Seed);

  /// Starts Count new instances, spread evenly over the data centres.
  void addInstances(std::uint32_t Count);
  /// Crashes each instance with this probability; peers are not notified.
  void crashShare(double Share);

  void runFor(Duration Span) { Time_.runFor(Span); }
  TimePoint now() const { return Time_.now(); }
  void setLoss(double Share) { Loss_ = Share; }
  /// Partitions a data centre from all others and from the platform.
  void partition(DataCentre const &Where);
  void heal();

  /// Writes a service to the platform through one live instance.
  ConfigurationObject changeService(std::uint32_t Number);
  /// Whether all live instances outside of Except hold the object at this
  /// version or a higher one.
  bool isInForce(ConfigurationObject const &Object,
                 std::set<DataCentre> const &Except) const;
  /// Whether all live instances hold the platform's objects and know all live
  /// members.
  bool isConverged() const;

  void resetCounters();
  std::uint32_t live() const;
  DataCentre dataCentre(std::uint32_t Number) const;
  WireCounters const &wire() const { return Wire_.counters(); }
  CpuMeter const &cpu() const { return Cpu_; }
  ModelPlatform &platform() { return Platform_; }
  std::vector<std::shared_ptr<ModelNode>> &nodes() { return Nodes_; }

private:
  void send(std::uint32_t From, SendToPeer const &Sent) override;
  void deliver(std::uint32_t From, std::uint32_t To, std::string const &Frame);
  bool arePartitioned(DataCentre const &Left, DataCentre const &Right) const;
  Duration delay(DataCentre const &Left, DataCentre const &Right) const;
  void addObjects();
  std::vector<Endpoint> seeds() const;

  FleetShape const Shape_;
  std::mt19937_64 Generator_;
  VirtualTime Time_;
  CpuMeter Cpu_;
  Wire Wire_;
  ModelPlatform Platform_;
  std::vector<std::shared_ptr<ModelNode>> Nodes_;
  std::unordered_map<std::string, std::uint32_t> ByHost_;
  std::set<DataCentre> PartitionedCentres_;
  double Loss_ = 0;
};

} // namespace laburnum::bench
