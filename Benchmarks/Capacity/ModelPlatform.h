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
  std::uint64_t Reads_ = 0;  ///< Each call, a watch as one.
  std::uint64_t Bytes_ = 0;  ///< Bodies and heads of calls and answers.
  std::uint64_t Failed_ = 0; ///< Calls that could not reach it.

  auto operator<=>(PlatformCounters const &) const = default;
};

/// The platform in virtual time: configuration objects, watches, the instance
/// list and reclaim notices. A data centre can be cut off from it.
class ModelPlatform {
public:
  template <typename Answer>
  using Then = std::function<void(Result<Answer> const &)>;
  using Listing = std::shared_ptr<InstanceListing const>;

  ModelPlatform(VirtualTime &Time, CpuMeter &Cpu) : Time_(Time), Cpu_(Cpu) {}

  /// Writes an object and answers the watches that wait for it.
  ConfigurationObject change(ObjectName const &Name,
                             std::string const &Specification);
  Version version() const { return Version_; }
  std::vector<ConfigurationObject> objects() const;

  void addInstance(EntryInstance const &Instance);
  void removeInstance(InstanceId const &Id);
  void addServer(ServerId const &Id);

  void setDown(bool IsDown) { IsDown_ = IsDown; }
  void cut(DataCentre const &Where) { Cut_.insert(Where); }
  void heal() { Cut_.clear(); }

  void list(DataCentre const &From, ObjectKind Kind, Then<ObjectList> Answer);
  void watch(DataCentre const &From, ObjectKind Kind, Version After,
             Duration Wait, Then<WatchBatch> Answer);
  void fetchInstances(DataCentre const &From, Then<Listing> Answer);
  void notices(DataCentre const &From, Duration Wait, Then<NoticeBatch> Answer);

  PlatformCounters const &counters() const { return Counters_; }
  void reset() { Counters_ = {}; }
  std::size_t listingBytes() const { return ListingBytes_; }

private:
  struct Watch {
    std::uint64_t Number_ = 0;
    ObjectKind Kind_ = ObjectKind::Service;
    Version After_ = 0;
    Then<WatchBatch> Answer_;
  };

  bool isReachable(DataCentre const &From) const;
  /// Counts the call; false when it fails, which Answer is then told.
  template <typename Answer>
  bool begin(DataCentre const &From, Then<Answer> const &Tell);
  void endWatch(std::uint64_t Number);
  std::vector<StoredObject> after(ObjectKind Kind, Version From) const;
  void makeListing();

  VirtualTime &Time_;
  CpuMeter &Cpu_;
  bool IsDown_ = false;
  std::set<DataCentre> Cut_;
  Version Version_ = 0;
  std::map<ObjectName, StoredObject> Objects_;
  std::vector<Watch> Watches_;
  std::uint64_t NextWatch_ = 0;
  std::map<InstanceId, EntryInstance> Instances_;
  std::vector<ServerId> Servers_;
  Listing Listing_; ///< Empty after a change, until it is asked for.
  std::size_t ListingBytes_ = 0;
  double ListingCpu_ = 0; ///< Seconds to decode it once.
  PlatformCounters Counters_;
};

} // namespace laburnum::bench
