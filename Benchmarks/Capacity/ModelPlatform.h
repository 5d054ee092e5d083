#pragma once

#include "CpuMeter.h"
#include "VirtualTime.h"

#include <LibFleet/StoredConfiguration.h>
#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace laburnum::bench {

struct PlatformCounters {
  std::uint64_t Reads_ = 0;  ///< Calls; a watch counts as one.
  std::uint64_t Bytes_ = 0;  ///< Heads and bodies of calls and answers.
  std::uint64_t Failed_ = 0; ///< Calls that did not reach the platform.

  auto operator<=>(PlatformCounters const &) const = default;
};

/// Simulates the platform in virtual time: configuration objects, watches, the
/// instance list and reclaim notices. Data centres can be partitioned from it.
class ModelPlatform {
public:
  template <typename Answer>
  using Callback = std::function<void(Result<Answer> const &)>;
  using Listing = std::shared_ptr<InstanceListing const>;

  ModelPlatform(VirtualTime &Time, CpuMeter &Cpu) : Time_(Time), Cpu_(Cpu) {}

  /// Writes an object and answers the watches of its kind.
  ConfigurationObject change(ObjectName const &Name,
                             std::string const &Specification);
  Version version() const { return Version_; }
  std::vector<ConfigurationObject> objects() const;

  void addInstance(EntryInstance const &Instance);
  void removeInstance(InstanceId const &Id);
  void addServer(ServerId const &Id);

  void setDown(bool IsDown) { IsDown_ = IsDown; }
  void partition(DataCentre const &Where) { PartitionedCentres_.insert(Where); }
  void heal() { PartitionedCentres_.clear(); }

  void list(DataCentre const &From, ObjectKind Kind,
            Callback<ObjectList> Answer);
  void watch(DataCentre const &From, ObjectKind Kind, Version After,
             Duration Wait, Callback<WatchBatch> Answer);
  void fetchInstances(DataCentre const &From, Callback<Listing> Answer);
  void notices(DataCentre const &From, Duration Wait,
               Callback<NoticeBatch> Answer);

  PlatformCounters const &counters() const { return Counters_; }
  void reset() { Counters_ = {}; }
  std::size_t listingBytes() const { return ListingBytes_; }

private:
  struct Watch {
    std::uint64_t Number_ = 0;
    ObjectKind Kind_ = ObjectKind::Service;
    Version After_ = 0;
    Callback<WatchBatch> Answer_;
  };

  bool isReachable(DataCentre const &From) const;
  /// Counts a call. Returns false and calls Reply with an error later if the
  /// platform is unreachable.
  template <typename Answer>
  bool begin(DataCentre const &From, Callback<Answer> const &Reply);
  void endWatch(std::uint64_t Number);
  std::vector<StoredObject> after(ObjectKind Kind, Version From) const;
  void makeListing();

  VirtualTime &Time_;
  CpuMeter &Cpu_;
  bool IsDown_ = false;
  std::set<DataCentre> PartitionedCentres_;
  Version Version_ = 0;
  std::map<ObjectName, StoredObject> Objects_;
  std::vector<Watch> Watches_;
  std::uint64_t NextWatch_ = 0;
  std::map<InstanceId, EntryInstance> Instances_;
  std::vector<ServerId> Servers_;
  Listing Listing_; ///< Cached; null after a change until the next request.
  std::size_t ListingBytes_ = 0;
  double ListingCpu_ = 0; ///< CPU seconds to decode it once.
  PlatformCounters Counters_;
};

} // namespace laburnum::bench
