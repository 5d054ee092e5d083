#pragma once

#include "CpuMeter.h"
#include "ModelPlatform.h"
#include "VirtualTime.h"

#include <LibFleet/ConfigurationStore.h>
#include <LibFleet/ListingPace.h>
#include <LibFleet/Membership.h>
#include <LibFleet/ServerDirectory.h>

#include <cstdint>
#include <memory>

namespace laburnum::bench {

/// Delivers messages between nodes.
class ModelNetwork {
public:
  virtual ~ModelNetwork() = default;
  virtual void send(std::uint32_t From, SendToPeer const &Sent) = 0;
};

struct NodeResources {
  VirtualTime &Time_;
  CpuMeter &Cpu_;
  ModelPlatform &Platform_;
  ModelNetwork &Network_;
};

/// One instance's control plane: the real decision cores, connected as in the
/// daemon's ControlPlane.
class ModelNode : public std::enable_shared_from_this<ModelNode> {
public:
  ModelNode(NodeResources Resources, std::uint32_t Index, EntryInstance Self,
            std::vector<Endpoint> Seeds);

  /// Starts the timers and the platform's long polls.
  void start();
  void stop() { IsUp_ = false; }

  /// Destroys the cores to free their memory. The node must be stopped.
  void releaseCores();

  bool isUp() const { return IsUp_; }
  EntryInstance const &instance() const { return Self_; }
  ConfigurationStore const &configuration() const { return *Configuration_; }
  Membership const &membership() const { return *Membership_; }
  ServerDirectory const &servers() const { return *Directory_; }

  void receive(InstanceId const &From, PeerMessage const &Message);
  void feed(configuration::Event const &Event);
  void feed(membership::Event const &Event);
  void feed(servers::Event const &Event);

private:
  void tick();
  void readInstances();
  void readNotices();
  /// Runs Task after Pause unless the node is stopped by then.
  void after(Duration Pause, std::function<void()> Task);
  /// Wraps a handler so that it is not called once the node is stopped.
  template <typename Call> auto whileUp(Call Handler);

  void perform(SendToPeer const &Action);
  void perform(configuration::ListCollection const &Action);
  void perform(configuration::WatchCollection const &Action);
  void perform(configuration::SnapshotChanged const &Action);
  void perform(configuration::RaiseAlarm const &Action);
  void perform(membership::MembersChanged const &Action);
  void perform(servers::DirectoryChanged const &Action);

  NodeResources const Resources_;
  std::uint32_t const Index_;
  EntryInstance const Self_;
  bool IsUp_ = true;
  std::unique_ptr<ConfigurationStore> Configuration_;
  std::unique_ptr<Membership> Membership_;
  std::unique_ptr<ServerDirectory> Directory_;
  ListingPace ListingPace_;
};

} // namespace laburnum::bench
