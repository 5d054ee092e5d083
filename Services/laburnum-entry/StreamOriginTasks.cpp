#include "StreamOriginTasks.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds Period{50};

} // namespace

StreamOriginTasks::StreamOriginTasks(StreamOriginDependencies Dependencies,
                                     std::string const &Name,
                                     EntryInstance const &Self)
    : Dependencies_(Dependencies),
      Records_(
          std::make_shared<StreamOriginRecords>(Dependencies.Store_, Name)),
      Copies_(Self), Timer_(Dependencies.Context_) {}

void StreamOriginTasks::start(std::shared_ptr<PeerNetwork> Peers) {
  Peers_ = std::move(Peers);
  Dependencies_.Traffic_.streamOrigins().setBegunListener(
      [this](BegunStream const &Stream, std::function<void()> Told) {
        asio::post(Dependencies_.Context_,
                   [this, Stream, Told = std::move(Told)]() mutable {
                     onBegun(Stream, std::move(Told));
                   });
      });
  Dependencies_.Traffic_.streamOrigins().setFinder(
      [this](StreamTakeUp const &Wanted, StreamOriginRecords::Done Done) {
        asio::post(
            Dependencies_.Context_,
            [this, Wanted, Done = std::move(Done)] { find(Wanted, Done); });
      });
  Dependencies_.Traffic_.streamOrigins().setNeedListener(
      [this](StreamOriginDirectory::Need Need, ServiceName const &Service) {
        asio::post(Dependencies_.Context_,
                   [this, Need, Service] { onNeed(Need, Service); });
      });
  Records_->setListener([this](RecordedOrigins const &Recorded) {
    asio::post(Dependencies_.TrafficContext_,
               [&Traffic = Dependencies_.Traffic_, Recorded] {
                 Traffic.setRecordedOrigins(Recorded);
               });
  });
}

void StreamOriginTasks::onNeed(StreamOriginDirectory::Need Need,
                               ServiceName const &Service) {
  auto const Now = readBootClock();
  if (Need == StreamOriginDirectory::Need::Move)
    Records_->onStreamsWait(timeOfDay(Now), Now);
  else
    Records_->onUnidentified(Service, timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::onHistoryListed(ObjectList const &Listed) {
  auto const Now = readBootClock();
  Records_->onHistoryListed(Listed, timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::onHistoryChanged(
    std::vector<StoredObject> const &Objects) {
  auto const Now = readBootClock();
  Records_->onHistoryChanged(Objects, timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::find(StreamTakeUp const &Wanted,
                             StreamOriginRecords::Done const &Done) {
  auto const Now = readBootClock();
  auto const Report = logged(Wanted, Now, Done);
  send(Copies_.find(Wanted.FirstAttemptId_, Now,
                    [this, Wanted, Report](auto const &Copy) {
                      if (Copy)
                        return Report({Copy, OriginSource::Copy});
                      auto const Now = readBootClock();
                      Records_->find(Wanted, timeOfDay(Now), Now, Report);
                    }));
  arm();
}

void StreamOriginTasks::onBegun(BegunStream const &Stream,
                                std::function<void()> Told) {
  auto const Copies = Copies_.onBegun(Stream, readBootClock());
  send(Copies);
  auto const Left = std::make_shared<std::size_t>(Copies.size() + 1);
  auto const OnWritten = [Left, Told = std::move(Told)] {
    if (--*Left == 0)
      Told();
  };
  for (auto const &Copy : Copies)
    Peers_->whenWritten(Copy.To_, OnWritten);
  OnWritten();
}

void StreamOriginTasks::send(std::vector<SendToPeer> const &Messages) {
  for (auto const &Message : Messages)
    Peers_->send(Message);
}

bool StreamOriginTasks::onPeer(StoreUpdate const &Update) {
  bool const IsOfCopies = Copies_.onUpdate(Update, readBootClock());
  if (IsOfCopies)
    arm();
  return IsOfCopies;
}

bool StreamOriginTasks::onPeer(SnapshotRequest const &Request) {
  auto const Answer = Copies_.onRequest(Request, readBootClock());
  if (Answer)
    Peers_->send(*Answer);
  return Answer.has_value();
}

StreamOriginRecords::Done
StreamOriginTasks::logged(StreamTakeUp const &Wanted, TimePoint Now,
                          StreamOriginRecords::Done Done) const {
  return
      [this, Wanted, Now, Done = std::move(Done)](OriginAnswer const &Answer) {
        Dependencies_.Log_.write(
            LogLine("stream_origin")
                .add("first_attempt", Wanted.FirstAttemptId_)
                .add("source", toString(Answer.Source_))
                .add("search_ms", readBootClock() - Now)
                .add("versions", Records_->versionsOf(Wanted.Service_)));
        Done(Answer);
      };
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
  for (auto const &[Id, Server] : Servers_)
    Listed.push_back(Server);
  auto const Now = readBootClock();
  Records_->setListed(Listed, timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::setReaderRole(relay::ReaderRole Role) {
  auto const Now = readBootClock();
  Records_->setHistoryRole(Role == relay::ReaderRole::None
                               ? OriginHistory::Role::Reads
                               : OriginHistory::Role::Keeps,
                           timeOfDay(Now), Now);
  arm();
}

void StreamOriginTasks::setMembers(std::vector<Member> const &Members) {
  Copies_.setMembers(Members);
  Records_->setLive(static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [](Member const &Member) {
        return Member.Liveness_ == Liveness::Live;
      })));
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
  if (IsArmed_ || !(Records_->isBusy(TimeOfDay) || Copies_.isBusy()))
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
  Copies_.tick(Now);
  Records_->tick(timeOfDay(Now), Now);
  arm();
}

} // namespace laburnum
