#include <LibServing/GuardedChooser.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace laburnum {

namespace {

/// Interval between checks whether suspect content may run.
constexpr Duration ChoiceRetryDelay = std::chrono::milliseconds(10);
/// A reservation that no request has needed for this long is ended.
constexpr Duration UnusedReservationTimeout = std::chrono::seconds(1);
/// At most one in this many servers of a service may be reserved at a time, so
/// that other requests keep enough servers.
constexpr std::size_t ServersPerReservation = 4;

Error requestCrashesServers() {
  return {ErrorKind::InvalidArgument,
          "servers crashed while they ran requests of this content",
          "do not send this content again; tell the operators if it is valid"};
}

Error isolatedRunPending() {
  return {ErrorKind::ResourceExhausted,
          "a request of the same content crashed a server and is being tried "
          "apart from others",
          "send the request again later"};
}

} // namespace

void GuardedChooser::setSnapshot(std::shared_ptr<Configuration const> Snapshot,
                                 std::set<ServerId> Leaving) {
  std::lock_guard const Lock(Mutex_);
  Snapshot_ = std::move(Snapshot);
  Leaving_ = std::move(Leaving);
}

void GuardedChooser::setPeers(std::set<InstanceId> Peers) {
  std::lock_guard const Lock(Mutex_);
  Reservations_.setPeers(std::move(Peers));
}

Result<BackendServer> GuardedChooser::choose(RouteQuery const &Query,
                                             TimePoint Now) {
  // All attempts start under this lock, so that two copies cannot both start
  // and no attempt starts while a reservation is being agreed to.
  std::lock_guard const Lock(Mutex_);
  switch (Guard_.verdict(Query.Fingerprint_, Now)) {
  case CrashVerdict::Run:
    return chooseShared(Query, Now);
  case CrashVerdict::RunIsolated:
    return chooseIsolated(Query, Now);
  case CrashVerdict::Wait:
    return isolatedRunPending();
  case CrashVerdict::Refuse:
    break;
  }
  return requestCrashesServers();
}

std::optional<Duration> GuardedChooser::choiceDelay(RouteQuery const &Query,
                                                    TimePoint Now) {
  GuardNotification Notification;
  std::optional<Duration> Pause;
  {
    std::lock_guard const Lock(Mutex_);
    auto const Verdict = Guard_.verdict(Query.Fingerprint_, Now);
    if (Verdict == CrashVerdict::Run || Verdict == CrashVerdict::Refuse)
      return std::nullopt;
    Pause = Verdict == CrashVerdict::Wait ? ChoiceRetryDelay
                                          : prepareIsolatedRun(Query, Now);
    Notification.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(Notification));
  return Pause;
}

void GuardedChooser::release(ServerId const &Server, RouteQuery const &Query,
                             AttemptEvidence const &Evidence, TimePoint Now) {
  GuardNotification Notification;
  {
    std::lock_guard const Lock(Mutex_);
    Inner_.release(Server, Query, Evidence, Now);
    Notification.Reports_ =
        Guard_.onEnded(Query.Fingerprint_, Server, Evidence, Now);
    for (auto const &Report : Notification.Reports_)
      if (Report.Evidence_ == CrashEvidence::BrokenOff)
        Notification.BrokenOff_ = Server;
    // A server whose isolated run was disconnected stays reserved until the
    // disconnect is classified.
    if (!Notification.BrokenOff_ &&
        Reservations_.serverOf(Query.Fingerprint_) == Server &&
        Reservations_.isStarted(Query.Fingerprint_))
      Reservations_.end(Query.Fingerprint_);
    Notification.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(Notification));
}

void GuardedChooser::receive(InstanceId const &From,
                             ServerReserved const &Message, TimePoint Now) {
  GuardNotification Notification;
  {
    std::lock_guard const Lock(Mutex_);
    if (Message.State_ == ReservationState::Requested &&
        !mayRunAtPeer(Message.Fingerprint_, Now)) {
      // The peer lacks the reports because of which it may not run the content.
      Notification.Reports_ = Guard_.reportsOf(Message.Fingerprint_, Now);
      Reservations_.defer(From, Message);
    } else {
      auto const IsIdle = Inner_.running(Message.Server_) == 0;
      Reservations_.receive(From, Message, IsIdle, Now);
    }
    Notification.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(Notification));
}

void GuardedChooser::onTimePassed(TimePoint Now) {
  GuardNotification Notification;
  {
    std::lock_guard const Lock(Mutex_);
    std::erase_if(LastRequestedAt_, [&](auto const &Entry) {
      auto const Server = Reservations_.serverOf(Entry.first);
      if (Server && Inner_.running(*Server) > 0 &&
          Reservations_.isStarted(Entry.first))
        return false;
      if (Now - Entry.second < UnusedReservationTimeout)
        return false;
      Reservations_.end(Entry.first);
      return true;
    });
    Reservations_.onTimePassed(Now);
    Notification.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(Notification));
}

Result<BackendServer> GuardedChooser::chooseShared(RouteQuery Query,
                                                   TimePoint Now) {
  Query.Excluded_.merge(Reservations_.reserved(Now));
  auto Chosen = Inner_.choose(Query, Now);
  if (!isError(Chosen))
    Guard_.onStarted(Query.Fingerprint_, valueOf(Chosen).Id_,
                     Isolation::Shared);
  return Chosen;
}

Result<BackendServer> GuardedChooser::chooseIsolated(RouteQuery Query,
                                                     TimePoint Now) {
  auto const Fingerprint = Query.Fingerprint_;
  if (usableServers(Query, Now).empty())
    return Inner_.choose(Query, Now);
  if (!holdsIdleServer(Fingerprint, Now))
    return isolatedRunPending();
  Query.Only_ = Reservations_.serverOf(Fingerprint);
  auto Chosen = Inner_.choose(Query, Now);
  if (isError(Chosen)) {
    Reservations_.end(Fingerprint);
    return Chosen;
  }
  Guard_.onStarted(Fingerprint, valueOf(Chosen).Id_, Isolation::Isolated);
  Reservations_.start(Fingerprint);
  return Chosen;
}

bool GuardedChooser::holdsIdleServer(std::uint64_t Fingerprint,
                                     TimePoint Now) const {
  auto const Server = Reservations_.serverOf(Fingerprint);
  return Server && Inner_.running(*Server) == 0 &&
         !Reservations_.isStarted(Fingerprint) &&
         !Reservations_.isReservedElsewhere(Fingerprint, Now) &&
         Reservations_.stage(Fingerprint, Now) == ReservationStage::Held;
}

/// Returns nothing if choose() may be called at once.
std::optional<Duration>
GuardedChooser::prepareIsolatedRun(RouteQuery const &Query, TimePoint Now) {
  auto const Fingerprint = Query.Fingerprint_;
  auto const Usable = usableServers(Query, Now);
  if (Usable.empty())
    return std::nullopt;
  if (Reservations_.isReservedElsewhere(Fingerprint, Now))
    return ChoiceRetryDelay;
  auto const Held = Reservations_.serverOf(Fingerprint);
  auto const IsUsable =
      Held && !Reservations_.isStarted(Fingerprint) &&
      std::find(Usable.begin(), Usable.end(), *Held) != Usable.end();
  if (Held && !IsUsable)
    Reservations_.end(Fingerprint);
  if (!IsUsable) {
    auto const Server = leastBusy(Usable, Fingerprint, Now);
    if (!Server)
      return ChoiceRetryDelay;
    Reservations_.request(Fingerprint, *Server, Now);
  }
  LastRequestedAt_[Fingerprint] = Now;
  if (holdsIdleServer(Fingerprint, Now))
    return std::nullopt;
  return ChoiceRetryDelay;
}

/// Returns false while a copy runs here or its disconnect is not classified
/// yet, and once the content is refused. As every peer must agree, one peer
/// with the reports suffices.
bool GuardedChooser::mayRunAtPeer(std::uint64_t Fingerprint,
                                  TimePoint Now) const {
  auto const Verdict = Guard_.verdict(Fingerprint, Now);
  return Verdict == CrashVerdict::Run || Verdict == CrashVerdict::RunIsolated;
}

/// Servers that disconnected while running the content are used only if there
/// are no others.
std::vector<ServerId> GuardedChooser::usableServers(RouteQuery const &Query,
                                                    TimePoint Now) const {
  auto const BrokenOff = Guard_.serversBrokenOffOn(Query.Fingerprint_, Now);
  std::vector<ServerId> Fresh;
  std::vector<ServerId> All;
  for (auto const &Server : Snapshot_->serversOf(Query.Service_)) {
    auto const &Id = Server.Id_;
    if (Leaving_.contains(Id) || Query.Excluded_.contains(Id) ||
        Inner_.isBackedOff(Id, Now))
      continue;
    All.push_back(Id);
    if (!BrokenOff.contains(Id))
      Fresh.push_back(Id);
  }
  return Fresh.empty() ? All : Fresh;
}

/// Returns nothing if the maximum number of servers is already reserved.
std::optional<ServerId>
GuardedChooser::leastBusy(std::vector<ServerId> const &Usable,
                          std::uint64_t Fingerprint, TimePoint Now) const {
  auto const Reserved = Reservations_.reserved(Now);
  std::vector<ServerId> Free;
  for (auto const &Id : Usable)
    if (!Reserved.contains(Id))
      Free.push_back(Id);
  auto const MaxReserved =
      std::max<std::size_t>(1, Usable.size() / ServersPerReservation);
  if (Free.empty() || Usable.size() - Free.size() >= MaxReserved)
    return std::nullopt;
  auto const Rank = [&](ServerId const &Id) {
    return std::tuple(Inner_.running(Id), stableHash(Id.text(), Fingerprint));
  };
  return *std::min_element(Free.begin(), Free.end(),
                           [&](ServerId const &Left, ServerId const &Right) {
                             return Rank(Left) < Rank(Right);
                           });
}

void GuardedChooser::publish(GuardNotification Notification) {
  if (Notification != GuardNotification{})
    Listener_.onGuardNotification(Notification);
}

} // namespace laburnum
