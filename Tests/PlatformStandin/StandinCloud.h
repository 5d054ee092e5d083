#pragma once

#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace laburnum {

/// The stand-in's cloud API: the delayed instance list, reclaim notices, starts
/// and stops. Thread-safe.
class StandinCloud {
public:
  /// The list shows the state as it was Lag ago.
  explicit StandinCloud(Duration Lag) : Lag_(Lag) {}

  /// Adds or replaces an entry instance.
  void add(ListedEntryInstance const &Instance, TimePoint Now);

  InstanceListing listing(TimePoint Now);

  /// Issues the notice and marks the instance as leaving; it is removed from
  /// the list when its remaining time is over. A name that is not listed is
  /// treated as a backend server's.
  void reclaim(ReclaimNotice const &Notice, TimePoint Now);

  /// Blocks for up to Wait until there are notices from index From on. stop()
  /// ends the wait.
  NoticeBatch notices(std::uint64_t From, Duration Wait);

  ServerId start(StartOrder const &Order, TimePoint Now);
  void remove(ServerId const &Id, TimePoint Now);

  /// Ends all current and future waits.
  void stop();

private:
  struct Snapshot {
    TimePoint Since_;
    InstanceListing Listing_;
  };
  struct IssuedNotice {
    ReclaimNotice Notice_;
    TimePoint RemovalTime_;
  };

  void removeExpired(TimePoint Now);
  void eraseName(std::string const &Name);
  void markLeaving(std::string const &Name);
  void record(TimePoint Since);

  Duration const Lag_;
  std::mutex Mutex_; ///< Guards all members below.
  std::condition_variable NoticeAdded_;
  InstanceListing CurrentListing_;
  std::deque<Snapshot> Snapshots_; ///< Oldest first.
  std::vector<IssuedNotice> Notices_;
  std::multimap<TimePoint, std::string> Removals_;
  std::map<std::string, ServerId> Started_; ///< By order identifier.
  bool IsStopped_ = false;
};

} // namespace laburnum
