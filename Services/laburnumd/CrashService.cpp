#include "CrashService.h"

#include "ServerProbe.h"

#include <LibCore/Hash.h>
#include <LibFleet/UnusableServers.h>
#include <LibLog/LogValue.h>

#include <asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

namespace laburnum {

namespace {

constexpr Duration ReservationTick = std::chrono::milliseconds(50);
constexpr Duration ExchangePeriod = std::chrono::seconds(2);
/// Peers that are notified immediately; the periodic exchange reaches the
/// others.
constexpr std::size_t FanOut = 16;
constexpr std::size_t ProbeThreads = 4;
constexpr std::size_t MaxNeighbourProbes = 3;
constexpr Duration ProbeTimeout = std::chrono::milliseconds(200);
/// Probes are delayed and repeated because a terminating process may still
/// accept connections for a moment.
constexpr Duration FirstProbeDelay = std::chrono::milliseconds(20);
constexpr Duration SecondProbeDelay = std::chrono::milliseconds(80);

} // namespace

CrashService::CrashService(ControlThread &Control, TrafficView const &View,
                           ObservableChooser &Inner, InstanceId const &Self,
                           MetricsRegistry &Metrics, std::uint64_t Seed)
    : Control_(Control), View_(View), Self_(Self), Guard_(Seed),
      Chooser_(Inner, Guard_, *this, Self),
      Crashes_(Metrics.counter("servers.crashed", "servers")),
      BrokenLinks_(Metrics.counter("servers.links_broken", "breaks")),
      Probes_(ProbeThreads) {}

CrashService::~CrashService() { stop(); }

void CrashService::start(PeerSend Send) {
  Send_ = std::move(Send);
  Control_.schedulePeriodically(ReservationTick,
                                [this] { Chooser_.onTimePassed(readClock()); });
  Control_.schedulePeriodically(ExchangePeriod, [this] { exchange(); });
}

void CrashService::stop() { Probes_.join(); }

void CrashService::onViewChanged() {
  auto const Configuration = View_.configuration();
  auto const Departures = View_.departures();
  for (auto const &[Id, Departure] : *Departures) {
    // Only a reclaim notice sets GoneAt_. A server that vanished or refuses
    // work may have crashed instead.
    auto const *Server = Configuration->server(Id);
    if (Departure.GoneAt_ && Server && Reclaimed_.insert(Id).second)
      Guard_.onReclaim(*Server, readClock());
  }
  std::erase_if(Reclaimed_,
                [&](ServerId const &Id) { return !Departures->contains(Id); });
  Chooser_.setSnapshot(Configuration,
                       unusableServers(*Departures, *Configuration));
}

void CrashService::onGuardNotification(GuardNotification const &Notification) {
  for (auto const &Item : Notification.Reservations_)
    sendTo(Item.To_, Item.Message_);
  notifyPeers(Notification.Reports_);
  if (Notification.BrokenOff_)
    startClassification(*Notification.BrokenOff_);
}

void CrashService::receive(InstanceId const &From, PeerMessage const &Message) {
  if (auto const *Reports = std::get_if<CrashReports>(&Message))
    Guard_.merge(Reports->Reports_, readClock());
  else if (auto const *Reserved = std::get_if<ServerReserved>(&Message))
    Chooser_.receive(From, *Reserved, readClock());
}

void CrashService::membersChanged(std::vector<Member> const &Members) {
  std::set<InstanceId> Names;
  {
    std::lock_guard const Lock(Mutex_);
    Peers_.clear();
    for (auto const &Item : Members)
      if (Item.Liveness_ != Liveness::Gone && Item.Instance_.Id_ != Self_)
        Peers_[Item.Instance_.Id_] = Item.Instance_.Peers_;
    for (auto const &[Id, Address] : Peers_)
      Names.insert(Id);
  }
  Chooser_.setPeers(std::move(Names));
}

void CrashService::startClassification(ServerId const &Id) {
  auto const *Found = View_.configuration()->server(Id);
  if (!Found)
    return;
  {
    std::lock_guard const Lock(Mutex_);
    if (!Classifying_.insert(Id).second)
      return;
  }
  asio::post(Probes_, [this, Server = *Found] {
    auto const Cause = classifyDisconnect(probe(Server));
    {
      std::lock_guard const Lock(Mutex_);
      Classifying_.erase(Server.Id_);
    }
    notifyPeers(Guard_.onDisconnectClassified(Server, Cause, readClock()));
    if (Cause == DisconnectCause::Link)
      return BrokenLinks_.add();
    Crashes_.add();
    LOG(WARNING) << "instance=" << Self_.text()
                 << " server_gone=" << logValue(Server.Id_.text()) << " cause="
                 << (Cause == DisconnectCause::Crash     ? "crash"
                     : Cause == DisconnectCause::Reclaim ? "reclaim"
                                                         : "machine_lost");
  });
}

DisconnectProbes CrashService::probe(BackendServer const &Server) {
  std::this_thread::sleep_for(FirstProbeDelay);
  auto Targets = neighboursOf(Server, readClock());
  Targets.push_back(Server.Endpoint_);
  auto Answers = probeServers(Targets, ProbeTimeout);
  DisconnectProbes Probes;
  Probes.Server_ = {Answers.back()};
  Answers.pop_back();
  Probes.Neighbours_ = std::move(Answers);
  if (Probes.Server_.front() != ProbeAnswer::Accepted)
    return Probes;
  std::this_thread::sleep_for(SecondProbeDelay);
  auto const Again = probeServers({Server.Endpoint_}, ProbeTimeout);
  Probes.Server_.insert(Probes.Server_.end(), Again.begin(), Again.end());
  return Probes;
}

/// Endpoints of some presumably healthy servers in the same data centre.
std::vector<Endpoint> CrashService::neighboursOf(BackendServer const &Server,
                                                 TimePoint Now) const {
  auto const Configuration = View_.configuration();
  auto const Departures = View_.departures();
  std::vector<BackendServer> Candidates;
  for (auto const &[Name, Service] : Configuration->services())
    for (auto const &Other : Configuration->serversOf(Name))
      if (Other.DataCentre_ == Server.DataCentre_ && Other.Id_ != Server.Id_ &&
          !Departures->contains(Other.Id_) &&
          Guard_.mayConfirmReclaim(Server.Id_, Other.Id_, Now))
        Candidates.push_back(Other);
  Candidates = rendezvousOrder(
      Server.Id_.text(), std::move(Candidates),
      [](BackendServer const &Item) { return Item.Id_.text(); });
  std::vector<Endpoint> Endpoints;
  for (auto const &Other : Candidates)
    if (Endpoints.size() < MaxNeighbourProbes)
      Endpoints.push_back(Other.Endpoint_);
  return Endpoints;
}

void CrashService::notifyPeers(std::vector<CrashReport> const &Reports) {
  if (Reports.empty())
    return;
  std::vector<Endpoint> Targets;
  {
    std::lock_guard const Lock(Mutex_);
    for (auto const &[Id, Address] : Peers_)
      if (Targets.size() < FanOut)
        Targets.push_back(Address);
  }
  for (auto const &Target : Targets)
    Send_(Target, CrashReports{Reports});
}

void CrashService::sendTo(InstanceId const &Peer, PeerMessage const &Message) {
  Endpoint Target;
  {
    std::lock_guard const Lock(Mutex_);
    auto const Found = Peers_.find(Peer);
    if (Found == Peers_.end())
      return;
    Target = Found->second;
  }
  Send_(Target, Message);
}

/// Sends all known crash reports to one peer, selected round-robin.
void CrashService::exchange() {
  auto const Now = readClock();
  Guard_.expire(Now);
  auto const Reports = Guard_.reports(Now);
  Endpoint Target;
  {
    std::lock_guard const Lock(Mutex_);
    if (Peers_.empty() || Reports.empty())
      return;
    auto const Index = NextExchange_++ % Peers_.size();
    Target =
        std::next(Peers_.begin(), static_cast<std::ptrdiff_t>(Index))->second;
  }
  Send_(Target, CrashReports{Reports});
}

} // namespace laburnum
