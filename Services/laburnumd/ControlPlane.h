#pragma once

#include "ControlThread.h"
#include "TrafficView.h"

#include <LibFleet/ConfigurationStore.h>
#include <LibFleet/ListingPace.h>
#include <LibFleet/Membership.h>
#include <LibFleet/ServerDirectory.h>
#include <LibPeer/AsioPeerTransport.h>
#include <LibPlatform/CloudApi.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/ObjectStore.h>

#include <asio/thread_pool.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace laburnum {

/// The platform's interfaces that the control plane reads.
struct PlatformInterfaces {
  ObjectStore &Objects_;
  InstanceList &Instances_;
  CloudApi &Cloud_;
};

/// Callbacks through which the control plane notifies other parts. All run on
/// the control thread.
struct ControlPlaneHooks {
  /// First called with the members that are known at start-up.
  std::function<void(std::vector<Member> const &)> OnMembers_;
  std::function<void(InstanceId const &, PeerMessage const &)> OnPeerMessage_;
  /// The cloud reclaims this instance after the given time.
  std::function<void(Duration)> OnLocalReclaim_;
};

struct ControlPlaneSettings {
  EntryInstance Self_; ///< With the ports that its listeners are bound to.
  std::vector<Endpoint> Seeds_;
  std::string PeerSecret_;
  Duration PlatformTimeout_{};
  std::uint64_t Seed_ = 0;
  ControlPlaneHooks Hooks_;
};

/// Drives the fleet's decision cores on the control thread: membership,
/// configuration and the directory of leaving servers. Sends their messages to
/// peers, executes their platform reads and publishes their results to the
/// traffic threads.
class ControlPlane {
public:
  ControlPlane(ControlThread &Control, PlatformInterfaces const &Platform,
               TrafficView &View, std::function<void()> OnViewChanged);
  ~ControlPlane();

  /// Called once, before the control thread runs. Returns the errors of
  /// AsioPeerTransport::create.
  Result<Success> start(ControlPlaneSettings const &Settings);
  /// Waits for the platform reads in progress; called before the control thread
  /// is stopped.
  void stop();

  // Called from any thread.

  void sendToPeer(Endpoint const &To, PeerMessage const &Message);
  /// Applies a change that this instance wrote and the platform accepted.
  void applyLocalChange(ConfigurationObject const &Object);
  void reportRefusal(ServerId const &Server);
  /// Notifies the peers and starts no further long polls of the platform, for
  /// which stop() would have to wait. From now on updates arrive from peers
  /// only.
  void announceLeaving();
  /// Marks a backend server that an operator takes out of use as leaving.
  void drainServer(ServerId const &Server, Duration Within);
  std::vector<Member> members();
  /// The configuration objects of a kind, without tombstones.
  std::vector<ConfigurationObject> objects(ObjectKind Kind);
  /// Returns the object, also if it is a tombstone.
  std::optional<ConfigurationObject> object(ObjectName const &Name);
  /// The names of all objects, including deleted ones.
  std::vector<ObjectName> objectNames();
  Version configurationVersion();
  /// The address on which this instance accepts peers; valid after start().
  Endpoint peerEndpoint() const { return Transport_->localEndpoint(); }
  bool isPlatformReachable() const { return PlatformReachable_; }

  /// Called on the control thread.
  void send(SendToPeer const &Message) { perform(Message); }

private:
  // On the control thread.
  void receive(InstanceId const &From, PeerMessage const &Message);
  void feed(configuration::Event const &Event);
  void feed(membership::Event const &Event);
  void feed(servers::Event const &Event);
  void perform(SendToPeer const &Action);
  void perform(configuration::ListCollection const &Action);
  void perform(configuration::WatchCollection const &Action);
  void perform(configuration::SnapshotChanged const &Action);
  void perform(configuration::RaiseAlarm const &Action);
  void perform(membership::MembersChanged const &Action);
  void perform(servers::DirectoryChanged const &Action);
  void readInstanceList();
  void readNotices();

  /// Runs a blocking platform call off the control thread and passes its result
  /// to Then on the control thread.
  template <typename Call, typename Next>
  void callPlatform(Call Blocking, Next Then);

  ControlThread &Control_;
  PlatformInterfaces const Platform_;
  TrafficView &View_;
  std::function<void()> const OnViewChanged_;
  Duration PlatformTimeout_{};
  asio::thread_pool PlatformReads_;
  std::shared_ptr<AsioPeerTransport> Transport_;
  std::unique_ptr<ConfigurationStore> Configuration_;
  std::unique_ptr<Membership> Membership_;
  std::unique_ptr<ServerDirectory> Directory_;
  std::unique_ptr<ListingPace> ListingPace_;
  InstanceId Self_;
  ControlPlaneHooks Hooks_;
  std::uint64_t NextNotice_ = 0;
  std::atomic<bool> PlatformReachable_ = false;
  std::atomic<bool> Stopping_ = false;
  std::atomic<bool> Leaving_ = false;
};

} // namespace laburnum
