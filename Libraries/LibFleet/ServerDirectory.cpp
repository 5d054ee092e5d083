#include <LibFleet/ServerDirectory.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

using namespace servers;

namespace {

/// Whether a notice applies to the server at the applied version: a notice of
/// an older version concerns a previous server of that name; one without a
/// version applies to any.
bool concerns(Version NoticeVersion, Version Applied) {
  return NoticeVersion == 0 || NoticeVersion >= Applied;
}

std::optional<TimePoint> earlier(std::optional<TimePoint> Left,
                                 std::optional<TimePoint> Right) {
  if (!Left || !Right)
    return Left ? Left : Right;
  return std::min(*Left, *Right);
}

} // namespace

ServerDirectory::ServerDirectory(servers::Settings Settings)
    : Settings_(std::move(Settings)), Generator_(Settings_.Seed_),
      Departures_(std::make_shared<Departures const>()) {}

std::vector<Action> ServerDirectory::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  ChangedServers_.clear();
  std::visit([&](auto const &Each) { on(Each); }, Event);
  if (!ChangedServers_.empty()) {
    Departures_ = std::make_shared<Departures const>(Next_);
    // First, so that the servers get no work while peers are being notified.
    Actions_.emplace(Actions_.begin(),
                     DirectoryChanged{Departures_, ChangedServers_});
  }
  return std::move(Actions_);
}

Version ServerDirectory::versionOf(ServerId const &Id) const {
  auto const Found = Versions_.find(Id);
  return Found == Versions_.end() ? 0 : Found->second;
}

void ServerDirectory::on(NoticeReceived const &Event) {
  ServerId const Id(Event.Notice_.InstanceName_);
  auto const IsInstance = [&](Member const &Peer) {
    return Peer.Instance_.Id_.text() == Id.text();
  };
  if (Settings_.Self_.Id_.text() == Id.text() ||
      std::any_of(Members_.begin(), Members_.end(), IsInstance))
    return;
  // A starting instance reads notices that may be days old. The instance list
  // shows which servers are gone; another server may have the same name now.
  if (Event.Notice_.Remaining_ < Duration(0))
    return;
  auto const GoneAt = Now_ + Event.Notice_.Remaining_;
  observe(Id, {Liveness::Leaving, GoneAt, versionOf(Id),
               uncertainUntil(Id, GoneAt)});
}

/// Until when an observation counts as uncertain; empty if it is certain. While
/// no object of the server is applied here, it is unknown which server of that
/// name was observed: it may be replaced before its object is applied. A server
/// that runs under the name long after the announced time is another one.
std::optional<TimePoint>
ServerDirectory::uncertainUntil(ServerId const &Id,
                                std::optional<TimePoint> GoneAt) const {
  if (versionOf(Id) != 0)
    return std::nullopt;
  return GoneAt.value_or(Now_) + Settings_.RefusalHold_;
}

void ServerDirectory::on(ServerRefused const &Event) {
  observe(Event.Server_,
          {Liveness::Leaving, std::nullopt, versionOf(Event.Server_),
           Now_ + Settings_.RefusalHold_});
}

void ServerDirectory::on(NoticeFromPeer const &Event) {
  auto const &Notice = Event.Notice_;
  if (Notice.Liveness_ == Liveness::Live ||
      !concerns(Notice.ServerVersion_, versionOf(Notice.Server_)))
    return;
  std::optional<TimePoint> GoneAt;
  if (Notice.Remaining_ > Duration(0))
    GoneAt = Now_ + Notice.Remaining_;
  std::optional<TimePoint> HoldUntil;
  if (Notice.Hold_ > Duration(0))
    HoldUntil = Now_ + std::min(Notice.Hold_, Settings_.RefusalHold_);
  else if (Notice.ServerVersion_ == 0)
    HoldUntil = GoneAt.value_or(Now_) + Settings_.RefusalHold_;
  merge(Notice.Server_,
        {Notice.Liveness_, GoneAt,
         std::max(Notice.ServerVersion_, versionOf(Notice.Server_)),
         HoldUntil});
}

/// The list lags, so that a live entry does not override a known departure, and
/// absence means Gone only for a server that was listed before.
void ServerDirectory::on(servers::InstancesListed const &Event) {
  std::map<ServerId, Liveness> Listed;
  for (auto const &Peer : Event.Listing_.Servers_)
    Listed[Peer.Id_] = Peer.Liveness_;
  for (auto const &[Id, At] : Listed_) {
    if (!Listed.contains(Id) && At == versionOf(Id))
      observe(Id, {Liveness::Gone, Now_, At, {}});
  }
  for (auto const &[Id, State] : Listed) {
    Listed_[Id] = versionOf(Id);
    if (State != Liveness::Live)
      observe(Id, {State, std::nullopt, versionOf(Id), uncertainUntil(Id, {})});
  }
}

/// Only a change applies a server anew. When ChangeWriter rewrites an object to
/// resolve a lost answer, Version_ increases but ChangeVersion_ stays.
void ServerDirectory::on(ObjectsApplied const &Event) {
  for (auto const &Object : Event.Objects_) {
    if (Object.Name_.Kind_ != ObjectKind::Server)
      continue;
    ServerId const Id(Object.Name_.Name_);
    auto &Applied = Versions_[Id];
    auto const Changed =
        Object.ChangeVersion_ != 0 ? Object.ChangeVersion_ : Object.Version_;
    if (Changed <= Applied)
      continue;
    Applied = Changed;
    auto const Found = Next_.find(Id);
    if (Found == Next_.end())
      continue;
    // A departure observed before this instance knew the server is retained; it
    // concerns the version applied now or an older one.
    if (Found->second.ServerVersion_ == 0 ||
        Found->second.ServerVersion_ >= Changed) {
      Found->second.ServerVersion_ =
          std::max(Found->second.ServerVersion_, Changed);
      continue;
    }
    Next_.erase(Found);
    Listed_.erase(Id);
    ChangedServers_.push_back(Id);
  }
}

void ServerDirectory::on(servers::MembersChanged const &Event) {
  auto const Before = std::exchange(Members_, Event.Members_);
  for (auto const &Peer : Members_) {
    auto const IsSame = [&](Member const &Other) {
      return Other.Instance_.Id_ == Peer.Instance_.Id_ &&
             Other.Liveness_ == Liveness::Live;
    };
    bool const IsNew = Peer.Liveness_ == Liveness::Live &&
                       std::none_of(Before.begin(), Before.end(), IsSame);
    if (IsNew && Peer.Instance_.Id_ != Settings_.Self_.Id_)
      notifyNewcomer(Peer.Instance_);
  }
}

void ServerDirectory::on(servers::TimePassed const & /*Event*/) {
  for (auto &[Id, Known] : Next_) {
    if (Known.Liveness_ == Liveness::Gone || !Known.GoneAt_ ||
        Now_ < *Known.GoneAt_)
      continue;
    Known.Liveness_ = Liveness::Gone;
    ChangedServers_.push_back(Id);
  }
  std::erase_if(Next_, [&](auto const &Entry) {
    auto const &[Id, Known] = Entry;
    bool const IsOver = Known.HoldUntil_ && *Known.HoldUntil_ <= Now_;
    if (IsOver)
      ChangedServers_.push_back(Id);
    return IsOver;
  });
  repeatGossip();
}

/// Merges a departure that this instance observed itself, and schedules
/// repeated gossip of it.
void ServerDirectory::observe(ServerId const &Id, Departure const &Observed) {
  auto const Before = ChangedServers_.size();
  merge(Id, Observed);
  if (ChangedServers_.size() > Before)
    Repetitions_[Id] = {Now_ + Settings_.RepeatPeriod_,
                        Now_ + Settings_.RepeatDuration_};
}

void ServerDirectory::repeatGossip() {
  std::erase_if(Repetitions_, [&](auto const &Entry) {
    return Now_ > Entry.second.End_ || !Next_.contains(Entry.first);
  });
  for (auto &[Id, Repeated] : Repetitions_) {
    if (Now_ < Repeated.Next_)
      continue;
    Repeated.Next_ = Now_ + Settings_.RepeatPeriod_;
    notifyPeers(Id, Next_.at(Id));
  }
}

void ServerDirectory::merge(ServerId const &Id, Departure const &Observed) {
  auto const Found = Next_.find(Id);
  if (Found == Next_.end()) {
    Next_.emplace(Id, Observed);
    ChangedServers_.push_back(Id);
    notifyPeers(Id, Observed);
    return;
  }
  auto &Known = Found->second;
  if (Observed.ServerVersion_ != 0 &&
      Observed.ServerVersion_ != Known.ServerVersion_) {
    // Observations of two servers of the same name are not combined: a certain
    // departure of the earlier one says nothing about the later one.
    if (Observed.ServerVersion_ < Known.ServerVersion_)
      return;
    Known = Observed;
    ChangedServers_.push_back(Id);
    notifyPeers(Id, Known);
    return;
  }
  auto const GoneAt = earlier(Known.GoneAt_, Observed.GoneAt_);
  bool const IsConfirmed = Known.HoldUntil_ && !Observed.HoldUntil_;
  bool const IsAdvance = Observed.Liveness_ > Known.Liveness_ || IsConfirmed;
  bool const IsFirstTime = !Known.GoneAt_ && GoneAt;
  Known.Liveness_ = std::max(Known.Liveness_, Observed.Liveness_);
  Known.GoneAt_ = GoneAt;
  updateHold(Known, Observed);
  if (!IsAdvance && !IsFirstTime)
    return;
  ChangedServers_.push_back(Id);
  notifyPeers(Id, Known);
}

/// A refusal extends a hold, but never weakens a departure with other evidence;
/// any other evidence ends the hold and makes the departure certain.
void ServerDirectory::updateHold(Departure &Known, Departure const &Observed) {
  if (!Known.HoldUntil_)
    return;
  if (Observed.HoldUntil_)
    Known.HoldUntil_ = std::max(*Known.HoldUntil_, *Observed.HoldUntil_);
  else
    Known.HoldUntil_.reset();
}

/// Gossips a departure to a few random peers. Each instance does so once it
/// learns of the departure; peers that gossip misses learn of it from the
/// instance list.
void ServerDirectory::notifyPeers(ServerId const &Id,
                                  Departure const &Announced) {
  std::vector<Endpoint> Peers;
  for (auto const &Peer : Members_)
    if (Peer.Liveness_ == Liveness::Live &&
        Peer.Instance_.Id_ != Settings_.Self_.Id_)
      Peers.push_back(Peer.Instance_.Peers_);
  auto const Notice = noticeOf(Id, Announced);
  std::shuffle(Peers.begin(), Peers.end(), Generator_);
  Peers.resize(std::min(Peers.size(), Settings_.FanOut_));
  for (auto const &To : Peers)
    Actions_.emplace_back(SendToPeer{To, Notice});
}

ServerLeavingNotice
ServerDirectory::noticeOf(ServerId const &Id,
                          Departure const &Announced) const {
  ServerLeavingNotice Notice{
      Id, Announced.Liveness_, {}, Announced.ServerVersion_, {}};
  if (Announced.HoldUntil_)
    Notice.Hold_ = std::max(Duration(1), *Announced.HoldUntil_ - Now_);
  if (Announced.GoneAt_)
    Notice.Remaining_ = std::max(Duration(0), *Announced.GoneAt_ - Now_);
  return Notice;
}

/// An instance that starts, or returns after a network partition, missed the
/// notices gossiped before, and may be unable to read the platform's list. A
/// few instances, on which all members agree, send it the known departures.
void ServerDirectory::notifyNewcomer(EntryInstance const &Newcomer) {
  std::vector<InstanceId> Notifiers;
  for (auto const &Peer : Members_)
    if (Peer.Liveness_ == Liveness::Live && Peer.Instance_.Id_ != Newcomer.Id_)
      Notifiers.push_back(Peer.Instance_.Id_);
  Notifiers =
      rendezvousOrder("departures/" + Newcomer.Id_.text(), std::move(Notifiers),
                      [](InstanceId const &Peer) -> std::string const & {
                        return Peer.text();
                      });
  Notifiers.resize(std::min(Notifiers.size(), Settings_.FanOut_));
  if (std::find(Notifiers.begin(), Notifiers.end(), Settings_.Self_.Id_) ==
      Notifiers.end())
    return;
  for (auto const &[Id, Known] : Next_)
    Actions_.emplace_back(SendToPeer{Newcomer.Peers_, noticeOf(Id, Known)});
}

} // namespace laburnum
