#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace laburnum {

/// The stand-in's instances: the lagging list, reclaim notices, starts and
/// stops. Thread-safe.
class StandinCloud {
public:
  /// The list shows the state of Lag ago.
  explicit StandinCloud(Duration Lag) : Lag_(Lag) {}

  /// Adds or replaces an entry instance.
  void add(ListedEntryInstance const &Instance, TimePoint Now);

  InstanceListing listing(TimePoint Now);

  /// Gives notice and marks the instance as leaving; it is gone from the list
  /// when its remaining time is over. A name that is not listed is taken for a
  /// backend server's.
  void reclaim(ReclaimNotice const &Notice, TimePoint Now);

  /// Waits up to Wait for notices from From on. stop() ends the wait.
  NoticeBatch notices(std::uint64_t From, Duration Wait);

  ServerId start(StartOrder const &Order, TimePoint Now);
  void remove(ServerId const &Id, TimePoint Now);

  /// Ends every wait, now and later.
  void stop();

private:
  struct Snapshot {
    TimePoint Since_;
    InstanceListing Listing_;
  };
  struct GivenNotice {
    ReclaimNotice Notice_;
    TimePoint GoneAt_;
  };

  void removeGone(TimePoint Now);
  void eraseName(std::string const &Name);
  void markLeaving(std::string const &Name);
  void record(TimePoint Since);

  Duration const Lag_;
  std::mutex Mutex_; ///< Guards all below.
  std::condition_variable Noticed_;
  InstanceListing Present_;
  std::deque<Snapshot> Snapshots_; ///< The oldest first.
  std::vector<GivenNotice> Notices_;
  std::multimap<TimePoint, std::string> Departures_;
  std::map<std::string, ServerId> Started_; ///< By order.
  bool IsStopped_ = false;
};

} // namespace laburnum
