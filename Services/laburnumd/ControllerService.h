#pragma once

#include "ControlThread.h"
#include "TrafficView.h"

#include <LibBackend/OrderClient.h>
#include <LibMetrics/MetricsRegistry.h>
#include <LibPlacement/FleetController.h>
#include <LibPlacement/LeaseHolder.h>
#include <LibPlatform/CloudApi.h>
#include <LibPlatform/ObjectStore.h>

#include <asio/thread_pool.hpp>

#include <functional>
#include <memory>

namespace laburnum {

/// The interfaces that the controller calls. All must outlive the service.
struct ControllerInterfaces {
  ObjectStore &Objects_;
  CloudApi &Cloud_;
  OrderClient &Engines_;
  /// Stops new work for a server; called on the control thread.
  std::function<void(ServerId const &, Duration)> DrainServer_;
};

struct ControllerServiceSettings {
  InstanceId Self_;
  std::uint64_t Seed_ = 0;
  Duration PlatformTimeout_{};
};

/// Drives the lease and the fleet controller on the control thread. Their
/// blocking calls run on thread pools; lease calls have a pool of their own so
/// that they do not queue behind calls to engines and the cloud.
class ControllerService {
public:
  ControllerService(ControlThread &Control, ControllerInterfaces Interfaces,
                    MetricsRegistry &Metrics);
  ~ControllerService();

  /// Called once, before the control thread runs.
  void start(ControllerServiceSettings const &Settings);
  /// Waits for the calls in progress; called before the control thread stops.
  void stop();

  // Called on the control thread.
  void membersChanged(std::vector<Member> const &Members);
  void viewChanged(TrafficView const &View);

private:
  struct Metrics {
    explicit Metrics(MetricsRegistry &Registry);

    Counter &LeasesGained_;
    Counter &ServersStarted_;
    Counter &StartsRefused_;
    Counter &ServersStopped_;
    Counter &EngineOrders_;
  };

  void feed(lease::Event const &Event);
  void feed(controller::Event const &Event);
  void perform(lease::ReadLease const &Action);
  void perform(lease::WriteLease const &Action);
  void perform(lease::LeaseChanged const &Action);
  void perform(controller::ReadRecord const &Action);
  void perform(controller::WriteRecord const &Action);
  void perform(controller::StartServer const &Action);
  void perform(controller::DrainServer const &Action);
  void perform(controller::StopServer const &Action);
  void perform(controller::SendEngineOrder const &Action);
  void perform(controller::ReleaseLease const &Action);

  /// Runs Blocking on a thread of Pool and feeds its event on the control
  /// thread.
  template <typename Call> void call(asio::thread_pool &Pool, Call Blocking);

  controller::Event start(controller::StartServer const &Action);
  controller::Event stop(controller::StopServer const &Action);
  controller::Event send(controller::SendEngineOrder const &Action);

  ControlThread &Control_;
  ControllerInterfaces const Interfaces_;
  Metrics Metrics_;
  InstanceId Self_;
  Duration PlatformTimeout_{};
  std::unique_ptr<LeaseHolder> Lease_;
  std::unique_ptr<FleetController> Controller_;
  std::uint64_t Fencing_ = 0; ///< Fencing number; 0 without the lease.
  std::atomic<bool> Stopping_ = false;
  asio::thread_pool LeaseCalls_;
  asio::thread_pool Calls_;
};

} // namespace laburnum
