#pragma once

#include "ControlThread.h"
#include "PeerService.h"
#include "TrafficView.h"

#include <LibMetrics/MetricsRegistry.h>
#include <LibServing/GuardedChooser.h>

#include <asio/thread_pool.hpp>

#include <map>
#include <mutex>
#include <set>

namespace laburnum {

/// Connects the crash guard with the daemon: judges broken connections by
/// probing servers, tells peers, and hears of reclaims from the directory.
class CrashService : public GuardListener, public PeerService {
public:
  CrashService(ControlThread &Control, TrafficView const &View,
               ObservableChooser &Inner, InstanceId const &Self,
               MetricsRegistry &Metrics, std::uint64_t Seed);
  ~CrashService() override;

  /// The chooser that requests are to use.
  ServerChooser &chooser() { return Chooser_; }

  /// Called once, before the control thread runs.
  void start(PeerSend Send);
  /// Waits for the probes in progress.
  void stop();
  /// The configuration or the departures in the view changed.
  void onViewChanged();

  void onGuardNews(GuardNews const &News) override;
  void receive(InstanceId const &From, PeerMessage const &Message) override;
  void setMembers(std::vector<Member> const &Members) override;

private:
  void judge(ServerId const &Server);
  BreakProbes probe(BackendServer const &Server);
  std::vector<Endpoint> neighboursOf(BackendServer const &Server,
                                     TimePoint Now) const;
  void tellPeers(std::vector<CrashReport> const &Reports);
  void sendTo(InstanceId const &Peer, PeerMessage const &Message);
  void exchange();

  ControlThread &Control_;
  TrafficView const &View_;
  InstanceId const Self_;
  CrashGuard Guard_;
  GuardedChooser Chooser_;
  Counter &Crashes_;
  Counter &LostLinks_;
  PeerSend Send_;
  asio::thread_pool Probes_;
  std::mutex Mutex_;
  std::map<InstanceId, Endpoint> Peers_;
  std::set<ServerId> Judging_;
  std::set<ServerId> Reclaimed_; ///< Told to the guard already.
  std::size_t NextExchange_ = 0;
};

} // namespace laburnum
