#include <LibTraffic/ServerRoster.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace laburnum {

namespace {

/// For how long a server's word on its load counts: requests of other
/// instances have turned over by then.
constexpr std::chrono::milliseconds LoadValidity{400};
/// How long a server is left out after a failure; doubles with each further
/// one in a row.
constexpr std::chrono::milliseconds FirstAvoidance{250};
constexpr std::uint32_t MostDoublings = 4;
constexpr std::chrono::milliseconds RefusalAvoidance{50};
/// An attempt that waits long for its first byte weighs like this many: a
/// server that has gone dark is avoided before its connections break. When all
/// servers are slow, all are burdened alike.
constexpr double SilenceBurden = 6.0;
/// A server that others of the same prefix go to is passed over once its load
/// is this much above the mean (consistent hashing with bounded loads), but not
/// below this part of its places: with room there it answers well in time, and
/// another server would have to read the prefix anew.
constexpr double AffinityLoadBound = 1.5;
constexpr double AffinityFreePart = 0.4;
/// What distance costs in the comparison of loads, as a part of all slots:
/// bytes between regions cost ten times those between data centres.
constexpr double OtherCentreCost = 0.03;
constexpr double OtherRegionCost = 0.3;

/// For how long the word of a life is kept: it is gone by then.
constexpr std::chrono::minutes NoteLifetime{10};
/// How long a life that nobody reached is left out: the list drops a server
/// that crashed after about four seconds. Doubles with each further sign.
constexpr std::chrono::seconds FirstAbsence{5};
constexpr std::uint32_t MostAbsenceDoublings = 4;
/// Callers that are told to come back after a pause come within this part of it
/// beyond its end.
constexpr double ReturnSpread = 0.5;

std::string regionOf(Geography const &Places, DataCentre const &Centre) {
  auto const Found = Places.Regions_.find(Centre);
  return Found == Places.Regions_.end() ? std::string() : Found->second;
}

double slotsOf(ServerRecord const &Record) {
  return std::max(1.0, static_cast<double>(Record.Slots_));
}

} // namespace

ServerRoster::ServerRoster(Geography Places, std::uint64_t Seed)
    : Places_(std::move(Places)), Generator_(Seed) {}

void ServerRoster::replaceAll(std::vector<ServerRecord> const &Records) {
  std::set<ServerId> Present;
  for (auto const &Record : Records) {
    Present.insert(Record.Id_);
    update(Record);
  }
  std::erase_if(Servers_,
                [&](auto const &One) { return !Present.contains(One.first); });
}

void ServerRoster::update(ServerRecord const &Record) {
  auto &Server = Servers_[Record.Id_];
  bool const IsReborn =
      Server.Record_.BornAtMilliseconds_ != Record.BornAtMilliseconds_ ||
      Server.Record_.Endpoint_ != Record.Endpoint_;
  if (IsReborn) {
    Server = Entry{};
    Server.Life_ = lifeOf(Record);
    if (auto const Known = Notes_.find(Server.Life_); Known != Notes_.end())
      Server.Note_ = Known->second;
  }
  Server.Record_ = Record;
}

void ServerRoster::remove(ServerId const &Id) { Servers_.erase(Id); }

bool ServerRoster::isStaying(Entry const &Server) const {
  return Server.Record_.Phase_ == ServerPhase::Ready &&
         !Server.Note_.IsLeaving_;
}

bool ServerRoster::takesRequests(Entry const &Server, TimePoint Now) const {
  return isStaying(Server) && Server.Note_.PausedUntil_ <= Now &&
         Server.AvoidUntil_ <= Now;
}

double ServerRoster::load(Entry const &Server, TimePoint Now) const {
  bool const IsFresh = Server.ToldAt_ + LoadValidity > Now;
  return Server.Running_ + (IsFresh ? Server.Others_ : 0.0);
}

double ServerRoster::burden(Entry const &Server, TimePoint Now) const {
  return load(Server, Now) + SilenceBurden * Server.Silent_;
}

double ServerRoster::cost(Entry const &Server, TimePoint Now) const {
  double Distance = 0.0;
  auto const &Centre = Server.Record_.DataCentre_;
  if (Centre != Places_.Own_)
    Distance = regionOf(Places_, Centre) == regionOf(Places_, Places_.Own_)
                   ? OtherCentreCost
                   : OtherRegionCost;
  return (burden(Server, Now) + 1.0) / slotsOf(Server.Record_) + Distance;
}

std::vector<ServerRoster::Entry const *>
ServerRoster::usable(ServerQuery const &Query, TimePoint Now) const {
  std::vector<Entry const *> Takers;
  for (auto const &[Id, Server] : Servers_)
    if (Server.Record_.Service_ == Query.Service_ &&
        !Query.Excluded_.contains(Id) && takesRequests(Server, Now))
      Takers.push_back(&Server);
  auto const IsThere = [&](Entry const *Server) {
    return Server->Note_.GoneUntil_ <= Now;
  };
  // Where all seem to be gone, the signs may be wrong.
  if (std::any_of(Takers.begin(), Takers.end(), IsThere))
    std::erase_if(Takers, std::not_fn(IsThere));
  std::erase_if(Takers, [&](Entry const *Server) {
    return load(*Server, Now) >= slotsOf(Server->Record_);
  });
  return Takers;
}

ServerRoster::Entry const *
ServerRoster::byAffinity(std::vector<Entry const *> const &Usable,
                         std::string const &Affinity, TimePoint Now) const {
  double Total = 1.0;
  for (auto const *Server : Usable)
    Total += burden(*Server, Now);
  auto const Bound =
      std::ceil(AffinityLoadBound * Total / static_cast<double>(Usable.size()));
  auto const Order = rendezvousOrder(
      Affinity, Usable, [](Entry const *Server) -> std::string const & {
        return Server->Record_.Id_.text();
      });
  for (auto const *Server : Order)
    if (burden(*Server, Now) + 1.0 <=
        std::max(Bound, AffinityFreePart * slotsOf(Server->Record_)))
      return Server;
  return Order.front();
}

std::optional<ServerRecord> ServerRoster::choose(ServerQuery const &Query,
                                                 TimePoint Now) {
  auto Usable = usable(Query, Now);
  if (Usable.empty())
    return std::nullopt;
  if (!Query.Affinity_.empty())
    return byAffinity(Usable, Query.Affinity_, Now)->Record_;
  // Equal costs are broken at random, so that instances do not herd.
  std::shuffle(Usable.begin(), Usable.end(), Generator_);
  return (*std::min_element(Usable.begin(), Usable.end(),
                            [&](Entry const *Left, Entry const *Right) {
                              return cost(*Left, Now) < cost(*Right, Now);
                            }))
      ->Record_;
}

bool ServerRoster::isServed(ServiceName const &Service, TimePoint Now) const {
  return std::any_of(Servers_.begin(), Servers_.end(), [&](auto const &One) {
    return One.second.Record_.Service_ == Service &&
           takesRequests(One.second, Now);
  });
}

void ServerRoster::onSent(ServerId const &Id) {
  if (auto const Found = Servers_.find(Id); Found != Servers_.end())
    ++Found->second.Running_;
}

void ServerRoster::onEnded(ServerId const &Id, ServerVerdict Verdict,
                           TimePoint Now) {
  auto const Found = Servers_.find(Id);
  if (Found == Servers_.end())
    return;
  auto &Server = Found->second;
  if (Server.Running_ > 0)
    --Server.Running_;
  if (Verdict == ServerVerdict::Worked) {
    Server.Failures_ = 0;
    if (Server.Note_.GoneSigns_ > 0)
      note(ServerId(Server.Life_), Now, [](LifeNote &Note) {
        Note.GoneUntil_ = TimePoint::min();
        Note.GoneSigns_ = 0;
      });
  } else if (Verdict == ServerVerdict::Refused) {
    Server.AvoidUntil_ = std::max(Server.AvoidUntil_, Now + RefusalAvoidance);
  } else if (Verdict == ServerVerdict::Failed) {
    auto const Doublings = std::min(Server.Failures_++, MostDoublings);
    Server.AvoidUntil_ = Now + FirstAvoidance * (1U << Doublings);
  }
}

void ServerRoster::onLoad(ServerId const &Id, ServerLoad const &Load,
                          TimePoint Now) {
  auto const Found = Servers_.find(Id);
  if (Found == Servers_.end())
    return;
  auto &Server = Found->second;
  auto const Total = static_cast<double>(Load.Running_ + Load.Waiting_);
  Server.Others_ = std::max(0.0, Total - Server.Running_);
  Server.ToldAt_ = Now;
}

void ServerRoster::onSilent(ServerId const &Id) {
  if (auto const Found = Servers_.find(Id); Found != Servers_.end())
    ++Found->second.Silent_;
}

void ServerRoster::onSilenceEnded(ServerId const &Id) {
  auto const Found = Servers_.find(Id);
  if (Found != Servers_.end() && Found->second.Silent_ > 0)
    --Found->second.Silent_;
}

template <typename Function>
void ServerRoster::note(ServerId const &Life, TimePoint Now, Function Change) {
  std::erase_if(Notes_,
                [&](auto const &One) { return One.second.KeptUntil_ <= Now; });
  auto &Note = Notes_[Life];
  Change(Note);
  Note.KeptUntil_ = std::max(Now + NoteLifetime, Note.PausedUntil_);
  for (auto &[Id, Server] : Servers_)
    if (Server.Life_ == Life)
      Server.Note_ = Note;
}

bool ServerRoster::onLeaving(ServerId const &Life, TimePoint Now) {
  bool IsNew = false;
  note(Life, Now,
       [&](LifeNote &Note) { IsNew = !std::exchange(Note.IsLeaving_, true); });
  return IsNew;
}

bool ServerRoster::onGone(ServerId const &Life, TimePoint Now) {
  bool IsNew = false;
  note(Life, Now, [&](LifeNote &Note) {
    IsNew = Note.GoneUntil_ <= Now;
    if (IsNew)
      Note.GoneUntil_ =
          Now + FirstAbsence *
                    (1U << std::min(Note.GoneSigns_++, MostAbsenceDoublings));
  });
  return IsNew;
}

void ServerRoster::onPause(ServerId const &Life, Duration For, TimePoint Now) {
  note(Life, Now, [&](LifeNote &Note) {
    Note.PausedUntil_ = std::max(Note.PausedUntil_, Now + For);
  });
}

std::optional<Duration>
ServerRoster::returnAfterPause(ServiceName const &Service, TimePoint GiveUpAt,
                               TimePoint Now) {
  std::optional<TimePoint> First;
  for (auto const &[Id, Server] : Servers_)
    if (Server.Record_.Service_ == Service && isStaying(Server))
      First =
          std::min(First.value_or(TimePoint::max()), Server.Note_.PausedUntil_);
  if (!First || *First <= GiveUpAt)
    return std::nullopt;
  std::uniform_real_distribution<double> Spread(1.0, 1.0 + ReturnSpread);
  return std::chrono::duration_cast<Duration>((*First - Now) *
                                              Spread(Generator_));
}

bool ServerRoster::isLeaving(ServerId const &Id) const {
  auto const Found = Servers_.find(Id);
  return Found == Servers_.end() || !isStaying(Found->second);
}

std::vector<ServerRecord> ServerRoster::records() const {
  std::vector<ServerRecord> Records;
  for (auto const &[Id, Server] : Servers_)
    Records.push_back(Server.Record_);
  return Records;
}

std::map<ServiceName, std::uint32_t> ServerRoster::runningByService() const {
  std::map<ServiceName, std::uint32_t> Running;
  for (auto const &[Id, Server] : Servers_)
    Running[Server.Record_.Service_] += Server.Running_;
  return Running;
}

std::uint32_t ServerRoster::running(ServerId const &Id) const {
  auto const Found = Servers_.find(Id);
  return Found == Servers_.end() ? 0 : Found->second.Running_;
}

} // namespace laburnum
