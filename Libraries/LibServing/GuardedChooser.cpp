#include <LibServing/GuardedChooser.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace laburnum {

namespace {

/// Between two looks at whether a suspect may run.
constexpr Duration HoldBackPause = std::chrono::milliseconds(10);
/// A reservation that no request has asked for is ended after this.
constexpr Duration UnwantedReservation = std::chrono::seconds(1);
/// Of a service's servers, one in this many may be reserved at a time, so that
/// suspects leave the others room.
constexpr std::size_t ServersPerReservation = 4;

Error requestCrashesServers() {
  return {ErrorKind::InvalidArgument,
          "servers crashed while they ran requests of this content",
          "do not send this content again; tell the operators if it is valid"};
}

Error requestUnderTrial() {
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
  // All starts take this lock, so that two copies are not both let through and
  // no start slips past a reservation that is being agreed to.
  std::lock_guard const Lock(Mutex_);
  switch (Guard_.verdict(Query.Fingerprint_, Now)) {
  case CrashVerdict::Run:
    return chooseShared(Query, Now);
  case CrashVerdict::RunAlone:
    return chooseAlone(Query, Now);
  case CrashVerdict::Wait:
    return requestUnderTrial();
  case CrashVerdict::Refuse:
    break;
  }
  return requestCrashesServers();
}

std::optional<Duration> GuardedChooser::holdBack(RouteQuery const &Query,
                                                 TimePoint Now) {
  GuardNews News;
  std::optional<Duration> Pause;
  {
    std::lock_guard const Lock(Mutex_);
    auto const Verdict = Guard_.verdict(Query.Fingerprint_, Now);
    if (Verdict == CrashVerdict::Run || Verdict == CrashVerdict::Refuse)
      return std::nullopt;
    Pause = Verdict == CrashVerdict::Wait ? HoldBackPause
                                          : prepareTrial(Query, Now);
    News.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(News));
  return Pause;
}

void GuardedChooser::release(ServerId const &Server, RouteQuery const &Query,
                             AttemptEvidence const &Evidence, TimePoint Now) {
  GuardNews News;
  {
    std::lock_guard const Lock(Mutex_);
    Inner_.release(Server, Query, Evidence, Now);
    News.Reports_ = Guard_.onEnded(Query.Fingerprint_, Server, Evidence, Now);
    for (auto const &Report : News.Reports_)
      if (Report.Evidence_ == CrashEvidence::BrokenOff)
        News.BrokenOff_ = Server;
    // A server whose trial broke off stays reserved until it is judged.
    if (!News.BrokenOff_ &&
        Reservations_.serverOf(Query.Fingerprint_) == Server &&
        Reservations_.isStarted(Query.Fingerprint_))
      Reservations_.end(Query.Fingerprint_);
    News.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(News));
}

void GuardedChooser::receive(InstanceId const &From,
                             ServerReserved const &Message, TimePoint Now) {
  GuardNews News;
  {
    std::lock_guard const Lock(Mutex_);
    if (Message.State_ == ReservationState::Requested &&
        !mayBeTriedByPeer(Message.Fingerprint_, Now)) {
      // The peer would not ask if it knew what is known here.
      News.Reports_ = Guard_.reportsOf(Message.Fingerprint_, Now);
      Reservations_.putOff(From, Message);
    } else {
      auto const IsIdle = Inner_.running(Message.Server_) == 0;
      Reservations_.receive(From, Message, IsIdle, Now);
    }
    News.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(News));
}

void GuardedChooser::onTimePassed(TimePoint Now) {
  GuardNews News;
  {
    std::lock_guard const Lock(Mutex_);
    std::erase_if(LastWanted_, [&](auto const &Entry) {
      auto const Server = Reservations_.serverOf(Entry.first);
      if (Server && Inner_.running(*Server) > 0 &&
          Reservations_.isStarted(Entry.first))
        return false;
      if (Now - Entry.second < UnwantedReservation)
        return false;
      Reservations_.end(Entry.first);
      return true;
    });
    Reservations_.onTimePassed(Now);
    News.Reservations_ = Reservations_.takeMessages();
  }
  publish(std::move(News));
}

Result<BackendServer> GuardedChooser::chooseShared(RouteQuery Query,
                                                   TimePoint Now) {
  Query.Excluded_.merge(Reservations_.reserved(Now));
  auto Chosen = Inner_.choose(Query, Now);
  if (!isError(Chosen))
    Guard_.onStarted(Query.Fingerprint_, valueOf(Chosen).Id_, Company::Shared);
  return Chosen;
}

Result<BackendServer> GuardedChooser::chooseAlone(RouteQuery Query,
                                                  TimePoint Now) {
  auto const Fingerprint = Query.Fingerprint_;
  if (usableServers(Query, Now).empty())
    return Inner_.choose(Query, Now);
  if (!holdsIdleServer(Fingerprint, Now))
    return requestUnderTrial();
  Query.Only_ = Reservations_.serverOf(Fingerprint);
  auto Chosen = Inner_.choose(Query, Now);
  if (isError(Chosen)) {
    Reservations_.end(Fingerprint);
    return Chosen;
  }
  Guard_.onStarted(Fingerprint, valueOf(Chosen).Id_, Company::Alone);
  Reservations_.start(Fingerprint);
  return Chosen;
}

bool GuardedChooser::holdsIdleServer(std::uint64_t Fingerprint,
                                     TimePoint Now) const {
  auto const Server = Reservations_.serverOf(Fingerprint);
  return Server && Inner_.running(*Server) == 0 &&
         !Reservations_.isStarted(Fingerprint) &&
         !Reservations_.isTriedElsewhere(Fingerprint, Now) &&
         Reservations_.stage(Fingerprint, Now) == ReservationStage::Held;
}

/// Nothing when choose() can say what there is to say at once.
std::optional<Duration> GuardedChooser::prepareTrial(RouteQuery const &Query,
                                                     TimePoint Now) {
  auto const Fingerprint = Query.Fingerprint_;
  auto const Usable = usableServers(Query, Now);
  if (Usable.empty())
    return std::nullopt;
  if (Reservations_.isTriedElsewhere(Fingerprint, Now))
    return HoldBackPause;
  auto const Held = Reservations_.serverOf(Fingerprint);
  auto const IsOfUse =
      Held && !Reservations_.isStarted(Fingerprint) &&
      std::find(Usable.begin(), Usable.end(), *Held) != Usable.end();
  if (Held && !IsOfUse)
    Reservations_.end(Fingerprint);
  if (!IsOfUse) {
    auto const Server = idlest(Usable, Fingerprint, Now);
    if (!Server)
      return HoldBackPause;
    Reservations_.ask(Fingerprint, *Server, Now);
  }
  LastWanted_[Fingerprint] = Now;
  if (holdsIdleServer(Fingerprint, Now))
    return std::nullopt;
  return HoldBackPause;
}

/// Not while a copy runs here or its break is not judged yet, nor once it is
/// refused. Since every peer must agree, one that knows is enough.
bool GuardedChooser::mayBeTriedByPeer(std::uint64_t Fingerprint,
                                      TimePoint Now) const {
  auto const Verdict = Guard_.verdict(Fingerprint, Now);
  return Verdict == CrashVerdict::Run || Verdict == CrashVerdict::RunAlone;
}

/// Servers on which the content broke off are of use only when nothing else is.
std::vector<ServerId> GuardedChooser::usableServers(RouteQuery const &Query,
                                                    TimePoint Now) const {
  auto const BrokenOff = Guard_.brokenOffOn(Query.Fingerprint_, Now);
  std::vector<ServerId> Fresh;
  std::vector<ServerId> All;
  for (auto const &Server : Snapshot_->serversOf(Query.Service_)) {
    auto const &Id = Server.Id_;
    if (Leaving_.contains(Id) || Query.Excluded_.contains(Id) ||
        Inner_.isAvoided(Id, Now))
      continue;
    All.push_back(Id);
    if (!BrokenOff.contains(Id))
      Fresh.push_back(Id);
  }
  return Fresh.empty() ? All : Fresh;
}

/// Nothing when as many servers are reserved as may be.
std::optional<ServerId>
GuardedChooser::idlest(std::vector<ServerId> const &Usable,
                       std::uint64_t Fingerprint, TimePoint Now) const {
  auto const Reserved = Reservations_.reserved(Now);
  std::vector<ServerId> Free;
  for (auto const &Id : Usable)
    if (!Reserved.contains(Id))
      Free.push_back(Id);
  auto const Most =
      std::max<std::size_t>(1, Usable.size() / ServersPerReservation);
  if (Free.empty() || Usable.size() - Free.size() >= Most)
    return std::nullopt;
  auto const Rank = [&](ServerId const &Id) {
    return std::tuple(Inner_.running(Id), stableHash(Id.text(), Fingerprint));
  };
  return *std::min_element(Free.begin(), Free.end(),
                           [&](ServerId const &Left, ServerId const &Right) {
                             return Rank(Left) < Rank(Right);
                           });
}

void GuardedChooser::publish(GuardNews News) {
  if (News != GuardNews{})
    Listener_.onGuardNews(News);
}

} // namespace laburnum
