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

/// Messages and tasks that a GuardedChooser passes to its listener.
struct GuardNotification {
  std::vector<ReservationMessage> Reservations_; ///< To be sent.
  std::vector<CrashReport> Reports_;  ///< To be sent to peers at once.
  std::optional<ServerId> BrokenOff_; ///< Server whose disconnect to classify.

  auto operator<=>(GuardNotification const &) const = default;
};

/// Receives the notifications of a GuardedChooser, on the calling thread.
class GuardListener {
public:
  virtual ~GuardListener() = default;
  virtual void onGuardNotification(GuardNotification const &Notification) = 0;
};

/// Applies the crash guard to another chooser: content suspected of crashing
/// servers runs isolated on a reserved server, and waits while none can be
/// reserved; other content is kept off reserved servers. Thread-safe.
class GuardedChooser : public ServerChooser {
public:
  GuardedChooser(ObservableChooser &Inner, CrashGuard &Guard,
                 GuardListener &Listener, InstanceId const &Self)
      : Inner_(Inner), Guard_(Guard), Listener_(Listener), Reservations_(Self) {
  }

  /// Sets the configuration in force and the servers that accept no new work.
  void setSnapshot(std::shared_ptr<Configuration const> Snapshot,
                   std::set<ServerId> Leaving);
  /// Sets the live and leaving instances except this one.
  void setPeers(std::set<InstanceId> Peers);

  Result<BackendServer> choose(RouteQuery const &Query, TimePoint Now) override;
  std::optional<Duration> choiceDelay(RouteQuery const &Query,
                                      TimePoint Now) override;
  void release(ServerId const &Server, RouteQuery const &Query,
               AttemptEvidence const &Evidence, TimePoint Now) override;

  void receive(InstanceId const &From, ServerReserved const &Message,
               TimePoint Now);
  /// To be called at least ten times a second.
  void onTimePassed(TimePoint Now);

private:
  Result<BackendServer> chooseShared(RouteQuery Query, TimePoint Now);
  Result<BackendServer> chooseIsolated(RouteQuery Query, TimePoint Now);
  bool holdsIdleServer(std::uint64_t Fingerprint, TimePoint Now) const;
  std::optional<Duration> prepareIsolatedRun(RouteQuery const &Query,
                                             TimePoint Now);
  bool mayRunAtPeer(std::uint64_t Fingerprint, TimePoint Now) const;
  /// Returns the servers on which the query's content could run isolated.
  std::vector<ServerId> usableServers(RouteQuery const &Query,
                                      TimePoint Now) const;
  std::optional<ServerId> leastBusy(std::vector<ServerId> const &Usable,
                                    std::uint64_t Fingerprint,
                                    TimePoint Now) const;
  void publish(GuardNotification Notification);

  ObservableChooser &Inner_;
  CrashGuard &Guard_;
  GuardListener &Listener_;
  std::mutex Mutex_;
  std::shared_ptr<Configuration const> Snapshot_ =
      std::make_shared<Configuration const>();
  std::set<ServerId> Leaving_;
  ServerReservations Reservations_;
  /// When a request last needed each reservation of this instance.
  std::map<std::uint64_t, TimePoint> LastRequestedAt_;
};

} // namespace laburnum
