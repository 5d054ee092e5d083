#pragma once

#include "ControlThread.h"
#include "TrafficView.h"

#include <LibFleet/Member.h>
#include <LibMetrics/MetricsRegistry.h>
#include <LibServing/GuardedChooser.h>

#include <asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace laburnum {

/// Sends a message to a peer, from any thread.
using PeerSend = std::function<void(Endpoint const &, PeerMessage const &)>;

/// Connects the crash guard with the daemon: classifies disconnects by probing
/// servers, sends crash reports to peers and passes reclaims from the server
/// directory to the guard.
class CrashService : public GuardListener {
public:
  CrashService(ControlThread &Control, TrafficView const &View,
               ObservableChooser &Inner, InstanceId const &Self,
               MetricsRegistry &Metrics, std::uint64_t Seed);
  ~CrashService() override;

  /// The chooser that requests use; it applies the crash guard.
  ServerChooser &chooser() { return Chooser_; }

  /// Called once, before the control thread runs.
  void start(PeerSend Send);
  /// Waits for the probes in progress.
  void stop();
  /// The configuration or the departures in the view changed.
  void onViewChanged();

  void onGuardNotification(GuardNotification const &Notification) override;
  /// Called on the control thread; ignores messages of other kinds.
  void receive(InstanceId const &From, PeerMessage const &Message);
  void membersChanged(std::vector<Member> const &Members);

private:
  void startClassification(ServerId const &Server);
  DisconnectProbes probe(BackendServer const &Server);
  std::vector<Endpoint> neighboursOf(BackendServer const &Server,
                                     TimePoint Now) const;
  void notifyPeers(std::vector<CrashReport> const &Reports);
  void sendTo(InstanceId const &Peer, PeerMessage const &Message);
  void exchange();

  ControlThread &Control_;
  TrafficView const &View_;
  InstanceId const Self_;
  CrashGuard Guard_;
  GuardedChooser Chooser_;
  Counter &Crashes_;
  Counter &BrokenLinks_;
  PeerSend Send_;
  asio::thread_pool Probes_;
  std::mutex Mutex_;
  std::map<InstanceId, Endpoint> Peers_;
  std::set<ServerId> Classifying_;
  std::set<ServerId> Reclaimed_; ///< Already reported to the guard.
  std::size_t NextExchange_ = 0;
};

} // namespace laburnum
