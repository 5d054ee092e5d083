#include "StreamOriginTasks.h"

#include <asio/post.hpp>

#include <utility>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds Period{50};
/// A server that does not identify itself may do so later.
constexpr std::chrono::seconds UnidentifiedTime{30};

void readServerList(StreamOriginDependencies const &Dependencies,
                    Duration Timeout,
                    StreamOriginRecords::ServerListDone const &Done) {
  Dependencies.Store_.list(
      Dependencies.Codec_.serverCollection(), ReadConsistency::Latest, Timeout,
      [&Codec = Dependencies.Codec_, Done](Result<ObjectList> const &Read) {
        if (isError(Read))
          return Done(std::nullopt);
        std::vector<ServerRecord> Servers;
        for (auto const &Object : valueOf(Read).Objects_)
          if (auto const Server = Codec.decodeServer(Object))
            Servers.push_back(*Server);
        Done(Servers);
      });
}

} // namespace

StreamOriginTasks::StreamOriginTasks(StreamOriginDependencies Dependencies,
                                     std::string const &Name)
    : Dependencies_(Dependencies),
      Records_(std::make_shared<StreamOriginRecords>(
          Dependencies.Store_, Name,
          [Dependencies](Duration Timeout,
                         StreamOriginRecords::ServerListDone const &Done) {
            readServerList(Dependencies, Timeout, Done);
          })),
      Timer_(Dependencies.Context_) {}

void StreamOriginTasks::start() {
  Dependencies_.Traffic_.streamOrigins().setFinder(
      [this](StreamTakeUp const &Wanted, StreamOriginRecords::Done Done) {
        asio::post(
            Dependencies_.Context_,
            [this, Wanted, Done = std::move(Done)] { find(Wanted, Done); });
      });
  Dependencies_.Traffic_.streamOrigins().setUnidentifiedListener(
      [this](ServerId const &Incarnation) {
        asio::post(Dependencies_.Context_,
                   [this, Incarnation] { onUnidentified(Incarnation); });
      });
}

void StreamOriginTasks::onUnidentified(ServerId const &Incarnation) {
  bool const IsNew =
      Unidentified_.insert_or_assign(Incarnation, readBootClock()).second;
  if (IsNew)
    serversChanged();
}

void StreamOriginTasks::forgetUnidentified(TimePoint Now) {
  auto const Forgotten = std::erase_if(Unidentified_, [&](auto const &Entry) {
    return Now - Entry.second >= UnidentifiedTime;
  });
  if (Forgotten > 0)
    serversChanged();
}

void StreamOriginTasks::find(StreamTakeUp const &Wanted,
                             StreamOriginRecords::Done const &Done) {
  auto const Now = readBootClock();
  Records_->setPeers(peerReach(Now), Live_);
  Records_->setListAge(Contact_.isListCurrent(Now)
                           ? StreamOriginRecords::ListAge::Current
                           : StreamOriginRecords::ListAge::Outdated);
  Records_->find(Wanted, timeOfDay(Now), Now, logged(Wanted, Now, Done));
  arm();
}

StreamOriginRecords::Done
StreamOriginTasks::logged(StreamTakeUp const &Wanted, TimePoint Now,
                          StreamOriginRecords::Done Done) const {
  LogLine Line("stream_origin");
  Line.add("first_attempt", Wanted.FirstAttemptId_)
      .add("live", Live_)
      .add("registered", Registered_);
  if (auto const At = Contact_.peerMessageAt())
    Line.add("peer_age_ms", Now - *At);
  if (auto const At = Contact_.listConfirmedAt())
    Line.add("list_age_ms", Now - *At);
  return [&Log = Dependencies_.Log_, Line, Now,
          Done = std::move(Done)](OriginAnswer const &Answer) {
    auto Complete = Line;
    Log.write(Complete.add("source", toString(Answer.Source_))
                  .add("search_ms", readBootClock() - Now));
    Done(Answer);
  };
}

StreamOriginRecords::PeerReach StreamOriginTasks::peerReach(TimePoint Now) {
  bool const IsAlone = Live_ <= 1;
  return 2 * Live_ > Registered_ && (IsAlone || Contact_.hearsPeers(Now))
             ? StreamOriginRecords::PeerReach::Most
             : StreamOriginRecords::PeerReach::Few;
}

void StreamOriginTasks::replaceServers(
    std::vector<ServerRecord> const &Servers) {
  Servers_.clear();
  for (auto const &Server : Servers)
    Servers_[Server.Id_] = Server;
  serversChanged();
}

void StreamOriginTasks::updateServer(ServerRecord const &Server) {
  Servers_[Server.Id_] = Server;
  serversChanged();
}

void StreamOriginTasks::removeServer(ServerId const &Id) {
  Servers_.erase(Id);
  serversChanged();
}

void StreamOriginTasks::setTable(std::shared_ptr<RouteTable const> Table) {
  auto const Now = readBootClock();
  Records_->setTable(std::move(Table), timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::serversChanged() {
  std::vector<ServerRecord> Listed;
  for (auto const &[Id, Server] : Servers_) {
    Listed.push_back(Server);
    if (!Unidentified_.contains(incarnationOf(Server)))
      continue;
    // Its streams may have begun at any version.
    Listed.push_back(Server);
    Listed.back().SoftwareVersion_ = UnidentifiedVersion;
  }
  auto const Now = readBootClock();
  Records_->setListed(Listed, timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::setReaderRole(relay::ReaderRole Role) {
  auto const Now = readBootClock();
  Records_->setHistoryRole(Role == relay::ReaderRole::None
                               ? StreamOriginRecords::HistoryRole::Reads
                               : StreamOriginRecords::HistoryRole::Keeps,
                           timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::setPeers(std::size_t Live, std::size_t Registered) {
  Live_ = Live;
  Registered_ = Registered;
  Records_->setPeers(peerReach(readBootClock()), Live);
}

void StreamOriginTasks::onStoreRestored() {
  auto const Now = readBootClock();
  Records_->onStoreRestored(timeOfDay(Now), Now);
}

void StreamOriginTasks::setRecording(bool IsMixed) {
  if (std::exchange(IsRecording_, IsMixed) == IsMixed)
    return;
  StreamOriginDirectory::Listener Listener;
  if (IsMixed)
    Listener = [this](std::vector<BegunStream> const &Streams) {
      asio::post(Dependencies_.Context_, [this, Streams] {
        auto const Now = readBootClock();
        Records_->setUnfinished(Streams, timeOfDay(Now), Now);
      });
    };
  asio::post(Dependencies_.TrafficContext_,
             [&Traffic = Dependencies_.Traffic_, Listener] {
               Traffic.streamOrigins().setListener(Listener);
             });
}

void StreamOriginTasks::arm() {
  auto const TimeOfDay = timeOfDay(readBootClock());
  setRecording(Records_->isMixed(TimeOfDay));
  if (IsArmed_ || !Records_->isBusy(TimeOfDay))
    return;
  IsArmed_ = true;
  Timer_.expires_after(Period);
  Timer_.async_wait([this](asio::error_code Failure) {
    IsArmed_ = false;
    if (!Failure)
      tick();
  });
}

void StreamOriginTasks::tick() {
  auto const Now = readBootClock();
  forgetUnidentified(Now);
  Records_->tick(timeOfDay(Now), Now);
  arm();
}

} // namespace laburnum
