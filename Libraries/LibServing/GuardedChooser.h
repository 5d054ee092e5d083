#pragma once

#include <LibGuard/CrashGuard.h>
#include <LibModel/Configuration.h>
#include <LibServing/ServerChooser.h>
#include <LibServing/ServerReservations.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace laburnum {

/// What the guard wants done outside of it.
struct GuardNews {
  std::vector<ReservationMessage> Reservations_; ///< To be sent.
  std::vector<CrashReport> Reports_;             ///< For the peers, at once.
  std::optional<ServerId> BrokenOff_; ///< A connection to it broke: judge it.

  auto operator<=>(GuardNews const &) const = default;
};

/// Takes the news of a GuardedChooser, on whichever thread causes them.
class GuardListener {
public:
  virtual ~GuardListener() = default;
  virtual void onGuardNews(GuardNews const &News) = 0;
};

/// Puts the crash guard before another chooser: content that is suspected of
/// crashing servers runs on a reserved server with nothing else, and waits
/// while none can be had; other content stays off reserved servers.
/// Safe to call from several threads.
class GuardedChooser : public ServerChooser {
public:
  GuardedChooser(ObservableChooser &Inner, CrashGuard &Guard,
                 GuardListener &Listener, InstanceId const &Self)
      : Inner_(Inner), Guard_(Guard), Listener_(Listener), Reservations_(Self) {
  }

  /// The configuration in force and the servers that take no new work.
  void setSnapshot(std::shared_ptr<Configuration const> Snapshot,
                   std::set<ServerId> Leaving);
  /// The live and leaving instances but this one.
  void setPeers(std::set<InstanceId> Peers);

  Result<BackendServer> choose(RouteQuery const &Query, TimePoint Now) override;
  std::optional<Duration> holdBack(RouteQuery const &Query,
                                   TimePoint Now) override;
  void release(ServerId const &Server, RouteQuery const &Query,
               AttemptEvidence const &Evidence, TimePoint Now) override;

  void receive(InstanceId const &From, ServerReserved const &Message,
               TimePoint Now);
  /// To be called at least ten times a second.
  void onTimePassed(TimePoint Now);

private:
  Result<BackendServer> chooseShared(RouteQuery Query, TimePoint Now);
  Result<BackendServer> chooseAlone(RouteQuery Query, TimePoint Now);
  bool holdsIdleServer(std::uint64_t Fingerprint, TimePoint Now) const;
  std::optional<Duration> prepareTrial(RouteQuery const &Query, TimePoint Now);
  bool mayBeTriedByPeer(std::uint64_t Fingerprint, TimePoint Now) const;
  /// The servers that a trial of the query's content could use.
  std::vector<ServerId> usableServers(RouteQuery const &Query,
                                      TimePoint Now) const;
  std::optional<ServerId> idlest(std::vector<ServerId> const &Usable,
                                 std::uint64_t Fingerprint,
                                 TimePoint Now) const;
  void publish(GuardNews News);

  ObservableChooser &Inner_;
  CrashGuard &Guard_;
  GuardListener &Listener_;
  std::mutex Mutex_;
  std::shared_ptr<Configuration const> Snapshot_ =
      std::make_shared<Configuration const>();
  std::set<ServerId> Leaving_;
  ServerReservations Reservations_;
  /// When each reservation of this instance was last asked for by a request.
  std::map<std::uint64_t, TimePoint> LastWanted_;
};

} // namespace laburnum
