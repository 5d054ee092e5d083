#include "ServerLinks.h"

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// How often links are checked while requests wait for servers or one is cut.
constexpr std::chrono::milliseconds CheckPeriod{250};
constexpr std::chrono::milliseconds ProbeTimeout{400};

} // namespace

ServerLinks::ServerLinks(asio::io_context &Context, ServerRoster &Roster,
                         EventLog &Log, Callbacks Callbacks)
    : Context_(Context), Roster_(Roster), Log_(Log),
      Callbacks_(std::move(Callbacks)), Timer_(Context) {}

bool ServerLinks::isCut(ServiceName const &Service) const {
  auto const Found = Links_.find(Service);
  return Found != Links_.end() && Found->second.state() == LinkState::Cut;
}

void ServerLinks::onSent(ServerRecord const &Server) {
  Links_[Server.Service_].onSent(Server.Id_, readBootClock());
  armTimer();
}

void ServerLinks::onWaitEnded(ServerRecord const &Server) {
  Links_[Server.Service_].onWaitEnded(Server.Id_);
}

void ServerLinks::onContact(ServiceName const &Service) {
  auto &Link = Links_[Service];
  bool const WasCut = Link.state() == LinkState::Cut;
  Link.onContact(readBootClock());
  if (!WasCut)
    return;
  Log_.write(LogLine("servers_link")
                 .add("service", Service.text())
                 .add("outcome", "up"));
  Callbacks_.Up_();
}

void ServerLinks::onFailure(ServerRecord const &Server) {
  Links_[Server.Service_].onFailure(Server.Id_);
  check(Server.Service_);
}

void ServerLinks::check(ServiceName const &Service) {
  auto Servers = Roster_.staying(Service);
  auto &Link = Links_[Service];
  if (!Link.isProbeDue(Servers.size(), readBootClock()))
    return;
  Servers.resize(std::min(Servers.size(), LinkMonitor::ProbedServers));
  Link.onProbeStarted(Servers.size());
  for (auto const &Server : Servers)
    ConnectProbe::start(Context_, Server.Endpoint_, Duration(0), ProbeTimeout,
                        [this, Service](ProbeAnswer Answer) {
                          onProbed(Service, Answer == ProbeAnswer::Accepted);
                        });
}

void ServerLinks::onProbed(ServiceName const &Service, bool IsReachable) {
  if (IsReachable)
    onContact(Service);
  auto &Link = Links_[Service];
  bool const WasUp = Link.state() == LinkState::Up;
  Link.onProbed(IsReachable, readBootClock());
  if (!WasUp || Link.state() == LinkState::Up)
    return;
  Log_.write(LogLine("servers_link")
                 .add("service", Service.text())
                 .add("outcome", "cut"));
  Callbacks_.Cut_(Service);
  armTimer();
}

void ServerLinks::armTimer() {
  auto const IsNeeded = [](auto const &Link) {
    return Link.second.isWaiting() || Link.second.state() == LinkState::Cut;
  };
  if (IsArmed_ || std::none_of(Links_.begin(), Links_.end(), IsNeeded))
    return;
  IsArmed_ = true;
  Timer_.expires_after(CheckPeriod);
  Timer_.async_wait([this](asio::error_code Failure) {
    IsArmed_ = false;
    if (Failure)
      return;
    for (auto const &[Service, Link] : Links_)
      check(Service);
    armTimer();
  });
}

} // namespace laburnum
