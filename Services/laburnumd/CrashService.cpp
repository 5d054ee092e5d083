#include "CrashService.h"

#include "ServerProbe.h"

#include <LibCore/Hash.h>
#include <LibFleet/UnusableServers.h>

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
/// Peers that are told at once; the exchange reaches the others.
constexpr std::size_t FanOut = 16;
constexpr std::size_t ProbeThreads = 4;
constexpr std::size_t Neighbours = 3;
constexpr Duration ProbeTimeout = std::chrono::milliseconds(200);
/// A process that is ending may still accept connections for a moment.
constexpr Duration FirstProbeDelay = std::chrono::milliseconds(20);
constexpr Duration SecondProbeDelay = std::chrono::milliseconds(80);

} // namespace

CrashService::CrashService(ControlThread &Control, TrafficView const &View,
                           ObservableChooser &Inner, InstanceId const &Self,
                           MetricsRegistry &Metrics, std::uint64_t Seed)
    : Control_(Control), View_(View), Self_(Self), Guard_(Seed),
      Chooser_(Inner, Guard_, *this, Self),
      Crashes_(Metrics.counter("servers.crashed", "servers")),
      LostLinks_(Metrics.counter("servers.links_broken", "breaks")),
      Probes_(ProbeThreads) {}

CrashService::~CrashService() { stop(); }

void CrashService::start(PeerSend Send) {
  Send_ = std::move(Send);
  Control_.every(ReservationTick,
                 [this] { Chooser_.onTimePassed(readClock()); });
  Control_.every(ExchangePeriod, [this] { exchange(); });
}

void CrashService::stop() { Probes_.join(); }

void CrashService::onViewChanged() {
  auto const Configuration = View_.configuration();
  auto const Departures = View_.departures();
  for (auto const &[Id, Departure] : *Departures) {
    // Only a notice says when a server goes. A server that vanished or refuses
    // work may have crashed.
    auto const *Server = Configuration->server(Id);
    if (Departure.GoneAt_ && Server && Reclaimed_.insert(Id).second)
      Guard_.onReclaim(*Server, readClock());
  }
  std::erase_if(Reclaimed_,
                [&](ServerId const &Id) { return !Departures->contains(Id); });
  Chooser_.setSnapshot(Configuration,
                       unusableServers(*Departures, *Configuration));
}

void CrashService::onGuardNotification(GuardNotification const &News) {
  for (auto const &One : News.Reservations_)
    sendTo(One.To_, One.Message_);
  tellPeers(News.Reports_);
  if (News.BrokenOff_)
    judge(*News.BrokenOff_);
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
    for (auto const &One : Members)
      if (One.Liveness_ != Liveness::Gone && One.Instance_.Id_ != Self_)
        Peers_[One.Instance_.Id_] = One.Instance_.Peers_;
    for (auto const &[Id, Where] : Peers_)
      Names.insert(Id);
  }
  Chooser_.setPeers(std::move(Names));
}

void CrashService::judge(ServerId const &Id) {
  auto const *Found = View_.configuration()->server(Id);
  if (!Found)
    return;
  {
    std::lock_guard const Lock(Mutex_);
    if (!Judging_.insert(Id).second)
      return;
  }
  asio::post(Probes_, [this, Server = *Found] {
    auto const Cause = classifyDisconnect(probe(Server));
    {
      std::lock_guard const Lock(Mutex_);
      Judging_.erase(Server.Id_);
    }
    tellPeers(Guard_.onDisconnectClassified(Server, Cause, readClock()));
    if (Cause == DisconnectCause::Link)
      return LostLinks_.add();
    Crashes_.add();
    LOG(WARNING) << "instance=" << Self_.text()
                 << " server_gone=" << Server.Id_.text() << " cause="
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

/// Some servers of the same data centre that were well.
std::vector<Endpoint> CrashService::neighboursOf(BackendServer const &Server,
                                                 TimePoint Now) const {
  auto const Configuration = View_.configuration();
  auto const Departures = View_.departures();
  std::vector<BackendServer> Well;
  for (auto const &[Name, Service] : Configuration->services())
    for (auto const &Other : Configuration->serversOf(Name))
      if (Other.DataCentre_ == Server.DataCentre_ && Other.Id_ != Server.Id_ &&
          !Departures->contains(Other.Id_) &&
          Guard_.mayConfirmReclaim(Server.Id_, Other.Id_, Now))
        Well.push_back(Other);
  Well =
      rendezvousOrder(Server.Id_.text(), std::move(Well),
                      [](BackendServer const &One) { return One.Id_.text(); });
  std::vector<Endpoint> Endpoints;
  for (auto const &Other : Well)
    if (Endpoints.size() < Neighbours)
      Endpoints.push_back(Other.Endpoint_);
  return Endpoints;
}

void CrashService::tellPeers(std::vector<CrashReport> const &Reports) {
  if (Reports.empty())
    return;
  std::vector<Endpoint> Targets;
  {
    std::lock_guard const Lock(Mutex_);
    for (auto const &[Id, Where] : Peers_)
      if (Targets.size() < FanOut)
        Targets.push_back(Where);
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

/// Tells one peer, each in its turn, all that is known.
void CrashService::exchange() {
  auto const Now = readClock();
  Guard_.expire(Now);
  auto const Reports = Guard_.reports(Now);
  Endpoint Target;
  {
    std::lock_guard const Lock(Mutex_);
    if (Peers_.empty() || Reports.empty())
      return;
    auto const Place = NextExchange_++ % Peers_.size();
    Target =
        std::next(Peers_.begin(), static_cast<std::ptrdiff_t>(Place))->second;
  }
  Send_(Target, CrashReports{Reports});
}

} // namespace laburnum
