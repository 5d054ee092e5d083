#include <LibServing/LeastLoadedChooser.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr Duration InitialCoolDown = std::chrono::milliseconds(100);
constexpr std::uint32_t MaximumCoolDownDoublings = 7; // 12.8 s.

Duration coolDown(std::uint32_t FailedConnections) {
  auto const Doublings =
      std::min(FailedConnections - 1, MaximumCoolDownDoublings);
  return InitialCoolDown * (1 << Doublings);
}

Error noServerConfigured(ServiceName const &Service) {
  return {ErrorKind::NotFound, "service " + Service.text() + " has no server",
          "add a server to the service"};
}

Error noServerUsable(ServiceName const &Service) {
  return {ErrorKind::Unavailable,
          "no server of service " + Service.text() + " takes new work",
          "send the request again later"};
}

Error allServersFull(ServiceName const &Service) {
  return {ErrorKind::ResourceExhausted,
          "every server of service " + Service.text() + " is full",
          "send the request again later, or add servers to the service"};
}

} // namespace

void LeastLoadedChooser::setSnapshot(
    std::shared_ptr<Configuration const> Snapshot, std::set<ServerId> Leaving) {
  std::lock_guard const Lock(Mutex_);
  Snapshot_ = std::move(Snapshot);
  Leaving_ = std::move(Leaving);
  Known_.clear();
  for (auto const &[Name, Unused] : Snapshot_->services())
    for (auto const &Server : Snapshot_->serversOf(Name))
      Known_.insert(Server.Id_);
  dropAbsentServers();
}

void LeastLoadedChooser::setLoad(ServerId const &Server,
                                 LoadReport const &Load) {
  std::lock_guard const Lock(Mutex_);
  if (Known_.contains(Server))
    Servers_[Server].Load_ = Load;
}

std::uint32_t LeastLoadedChooser::running(ServerId const &Server) const {
  std::lock_guard const Lock(Mutex_);
  return stateOf(Server).Running_;
}

bool LeastLoadedChooser::isBackedOff(ServerId const &Server,
                                     TimePoint Now) const {
  std::lock_guard const Lock(Mutex_);
  return Now < stateOf(Server).BackOffUntil_;
}

Result<BackendServer> LeastLoadedChooser::choose(RouteQuery const &Query,
                                                 TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const &All = Snapshot_->serversOf(Query.Service_);
  if (All.empty())
    return noServerConfigured(Query.Service_);
  std::vector<BackendServer const *> Usable;
  for (auto const &Server : All)
    if (isUsable(Server, Query, Now))
      Usable.push_back(&Server);
  if (Usable.empty())
    return noServerUsable(Query.Service_);
  std::erase_if(Usable,
                [&](BackendServer const *Server) { return !hasRoom(*Server); });
  if (Usable.empty())
    return allServersFull(Query.Service_);
  auto const &Chosen = pick(Usable);
  ++Servers_[Chosen.Id_].Running_;
  return Chosen;
}

void LeastLoadedChooser::release(ServerId const &Server,
                                 RouteQuery const & /*Query*/,
                                 AttemptEvidence const &Evidence,
                                 TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  auto const Found = Servers_.find(Server);
  if (Found == Servers_.end())
    return;
  auto &State = Found->second;
  if (State.Running_ > 0)
    --State.Running_;
  if (Evidence.Progress_ >= AttemptProgress::AnswerBegun)
    State.FailedConnections_ = 0;
  auto const CouldNotConnect =
      Evidence.Progress_ == AttemptProgress::NotConnected &&
      Evidence.End_ != AttemptEnd::Cancelled;
  // Concurrent attempts that fail together count as one failure.
  if (CouldNotConnect && Now >= State.BackOffUntil_)
    State.BackOffUntil_ = Now + coolDown(++State.FailedConnections_);
  if (State.Running_ == 0 && !Known_.contains(Server))
    Servers_.erase(Found);
}

bool LeastLoadedChooser::isUsable(BackendServer const &Server,
                                  RouteQuery const &Query,
                                  TimePoint Now) const {
  return !Leaving_.contains(Server.Id_) &&
         !Query.Excluded_.contains(Server.Id_) &&
         (!Query.Only_ || *Query.Only_ == Server.Id_) &&
         Now >= stateOf(Server.Id_).BackOffUntil_;
}

bool LeastLoadedChooser::hasRoom(BackendServer const &Server) const {
  return stateOf(Server.Id_).Running_ < Server.Capacity_;
}

double LeastLoadedChooser::loadOf(BackendServer const &Server) const {
  auto const &State = stateOf(Server.Id_);
  auto const Requests = static_cast<double>(State.Running_) +
                        State.Load_.Running_ + State.Load_.Queued_;
  return Requests / std::max(Server.Capacity_, 1U);
}

BackendServer const &
LeastLoadedChooser::pick(std::vector<BackendServer const *> const &Free) {
  if (Free.size() == 1)
    return *Free.front();
  auto const First = Generator_() % Free.size();
  auto Second = Generator_() % (Free.size() - 1);
  if (Second >= First)
    ++Second;
  return loadOf(*Free[Second]) < loadOf(*Free[First]) ? *Free[Second]
                                                      : *Free[First];
}

LeastLoadedChooser::ServerState const &
LeastLoadedChooser::stateOf(ServerId const &Server) const {
  static ServerState const Idle;
  auto const Found = Servers_.find(Server);
  return Found == Servers_.end() ? Idle : Found->second;
}

/// Removes servers that left the configuration once nothing runs there.
void LeastLoadedChooser::dropAbsentServers() {
  std::erase_if(Servers_, [&](auto const &Entry) {
    return Entry.second.Running_ == 0 && !Known_.contains(Entry.first);
  });
}

} // namespace laburnum
