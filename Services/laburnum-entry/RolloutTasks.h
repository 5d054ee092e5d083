#pragma once

#include "RecordCodec.h"
#include "TrafficPlane.h"

#include <LibControl/BroadcastTree.h>
#include <LibControl/CollectionReader.h>
#include <LibControl/PeerNetwork.h>
#include <LibControl/RetryPause.h>
#include <LibControl/RolloutController.h>
#include <LibLog/EventLog.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// References to shared objects, all of which outlive RolloutTasks.
struct RolloutDependencies {
  asio::io_context &Context_;
  asio::io_context &TrafficContext_;
  AsyncObjectStore &Store_;
  TrafficPlane &Traffic_;
  RecordCodec const &Codec_;
  EventLog &Log_;
  EntryMetrics &Metrics_;
};

/// Carries out the operator's orders to roll software versions out. Every
/// instance knows the orders and reports what it sees of the versions; the
/// holder of the lease decides and tells the shares. Runs on the control
/// thread.
class RolloutTasks : public CollectionReader {
public:
  RolloutTasks(RolloutDependencies Dependencies, EntryInstance const &Self);

  void start(std::shared_ptr<PeerNetwork> Peers) { Peers_ = std::move(Peers); }
  void setMembers(std::vector<Member> const &Members,
                  std::set<Endpoint> Collectors);
  bool hasOrders() const { return Controller_.hasOrders(); }
  void setServers(std::vector<ServerRecord> const &Servers);
  /// To be called a few times a second. Fence is the lease's number while this
  /// instance holds it.
  void tick(std::optional<std::uint64_t> Fence, Duration TimeOfDay,
            TimePoint Now);
  /// Sends what this instance has seen. Without targets it goes to all.
  void report(std::optional<std::vector<Endpoint>> const &Targets);
  void onPeer(InstanceId const &From, VersionReport const &Report);
  void onPeer(RolloutShares const &Shares);

  void onListed(ObjectList const &Listed) override;
  void onChanged(WatchBatch const &Changes) override;
  void onLost(Error const & /*Reason*/) override {}
  void onRegained() override {}

private:
  void setOrder(StoredObject const &Object);
  void publishTargets();
  /// Reads the records, without which nothing is decided.
  void readRecords();
  void perform(rollout::WriteRecord const &Action);
  void perform(rollout::WriteStatus const &Action);
  void perform(rollout::StageDecided const &Action);
  /// Sends the shares if they have changed, or are to be renewed.
  void sendShares(TimePoint Now);
  void apply(RolloutShares const &Shares);

  RolloutDependencies Dependencies_;
  EntryInstance const Self_;
  BroadcastTree Tree_;
  RolloutController Controller_;
  std::shared_ptr<PeerNetwork> Peers_;
  /// The versions that orders name.
  std::map<ServiceName, std::string> Targets_;
  std::optional<std::uint64_t> Fence_; ///< While the lease is held.
  enum class Records { Unknown, Reading, Known } Records_ = Records::Unknown;
  RetryPause ReadPause_;
  std::uint64_t Number_ = 0; ///< Of the shares that were sent last.
  std::vector<RolloutShare> SentShares_;
  TimePoint SharesSentAt_ = TimePoint::min();
};

} // namespace laburnum
