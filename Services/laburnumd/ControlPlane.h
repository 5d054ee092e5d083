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

/// What other parts hear of the control plane's news, on the control thread.
struct ControlPlaneHooks {
  /// Called first with the members known at the start.
  std::function<void(std::vector<Member> const &)> OnMembers_;
  std::function<void(InstanceId const &, PeerMessage const &)> OnPeerMessage_;
  /// The cloud takes this instance back after the time given.
  std::function<void(Duration)> OnOwnReclaim_;
};

struct ControlPlaneSettings {
  EntryInstance Self_; ///< With the ports that its listeners chose.
  std::vector<Endpoint> Seeds_;
  std::string PeerSecret_;
  Duration PlatformTimeout_{};
  std::uint64_t Seed_ = 0;
  ControlPlaneHooks Hooks_;
};

/// Drives the fleet cores on the control thread: membership, configuration and
/// the directory of leaving servers. Carries their messages to peers, their
/// reads to the platform and their results to the traffic threads.
class ControlPlane {
public:
  ControlPlane(ControlThread &Control, PlatformInterfaces const &Platform,
               TrafficView &View, std::function<void()> OnViewChanged);
  ~ControlPlane();

  /// Called once, before the control thread runs. Errors as of
  /// AsioPeerTransport::create.
  Result<Success> start(ControlPlaneSettings const &Settings);
  /// Ends the platform reads in progress; called before the control thread is
  /// stopped.
  void stop();

  // Called from any thread.

  void sendToPeer(Endpoint const &To, PeerMessage const &Message);
  /// A change that this instance wrote and the platform accepted.
  void applyOwnChange(ConfigurationObject const &Object);
  void reportRefusal(ServerId const &Server);
  /// Tells the peers, and begins no more long polls of the platform, which a
  /// stop would wait for: from now on the peers bring what is new.
  void announceLeaving();
  /// A backend server that its operator takes out of use.
  void drainServer(ServerId const &Server, Duration Within);
  std::vector<Member> members();
  /// The configuration objects of a kind, without tombstones.
  std::vector<ConfigurationObject> objects(ObjectKind Kind);
  /// One object, also when it is a tombstone.
  std::optional<ConfigurationObject> object(ObjectName const &Name);
  /// The names of all objects, deleted ones included.
  std::vector<ObjectName> objectNames();
  Version configurationVersion();
  /// Where this instance listens for its peers; known after start().
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

  /// Runs a blocking platform call off the control thread and hands its result
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
