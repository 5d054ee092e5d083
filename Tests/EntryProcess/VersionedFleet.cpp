#include "VersionedFleet.h"

#include "StandinRecords.h"

#include <LibPlatform/StoreEra.h>

#include <asio/write.hpp>

#include <array>
#include <cstdlib>
#include <poll.h>
#include <sstream>
#include <utility>
#include <variant>

namespace laburnum::entry_process {

namespace {

/// Follows the events before a stop.
std::string const UnfinishedEvent =
    "id: " + std::to_string(VersionedFleet::EventsBeforeStop + 1) + "\ndata: v";

std::string field(std::string const &Name, std::string const &Value) {
  return Value.empty() ? std::string() : Name + ": " + Value + "\r\n";
}

std::string event(std::uint64_t Id, std::string const &Version) {
  return "id: " + std::to_string(Id) + "\ndata: " + Version + "\n\n";
}

std::string const LastChunk = "0\r\n\r\n";

std::string chunk(std::string const &Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
  return Text.str();
}

std::string streamHead(std::string const &AttemptId, bool IsChunked) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
         "\r\nX-Server-Stamp: stamp\r\n"
         "Content-Type: text/event-stream\r\n" +
         (IsChunked ? "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n"
                    : "") +
         "\r\n";
}

/// A whole answer that no request asked for.
std::string extraAnswer(std::string const &AttemptId) {
  return streamHead(AttemptId, true) + chunk(event(1, "extra 0 0")) + LastChunk;
}

} // namespace

StreamClient::StreamClient(EntryProcess const &Instance, std::string AttemptId,
                           std::string const &Resumes,
                           std::string const &LastEventId,
                           std::string const &Route,
                           std::chrono::milliseconds Deadline)
    : AttemptId_(std::move(AttemptId)) {
  Socket_.connect(
      {asio::ip::make_address(Instance.address()), EntryProcess::TrafficPort});
  asio::write(Socket_,
              asio::buffer("GET " + Route +
                           (Resumes.empty() ? AttemptId_ : Resumes) +
                           " HTTP/1.1\r\nHost: desk.example\r\n"
                           "X-Deadline-Ms: " +
                           std::to_string(Deadline.count()) +
                           "\r\nX-Key: k1\r\n"
                           "Connection: close\r\n" +
                           field("X-Attempt-Id", AttemptId_) +
                           field("Resumes", Resumes) +
                           field("Last-Event-Id", LastEventId) + "\r\n"));
}

bool StreamClient::readMore() {
  std::array<char, 4096> Buffer{};
  asio::error_code End;
  auto const Size = Socket_.read_some(asio::buffer(Buffer), End);
  Received_.append(Buffer.data(), Size);
  return !End;
}

void StreamClient::readEvents(std::size_t Count) {
  while (events().size() < Count && readMore()) {
  }
}

void StreamClient::readToEnd() {
  while (!isComplete() && readMore()) {
  }
}

bool StreamClient::readWithin(std::chrono::milliseconds Time) {
  pollfd Readable{Socket_.native_handle(), POLLIN, 0};
  return poll(&Readable, 1, static_cast<int>(Time.count())) <= 0 || readMore();
}

void StreamClient::reset() {
  Socket_.set_option(asio::socket_base::linger(true, 0));
  Socket_.close();
}

int StreamClient::status() const {
  constexpr std::size_t StatusOffset = sizeof("HTTP/1.1 ") - 1;
  return Received_.size() < StatusOffset
             ? 0
             : std::atoi(Received_.c_str() + StatusOffset);
}

ReceivedEvents StreamClient::events() const {
  ReceivedEvents Events;
  std::size_t At = 0;
  while ((At = Received_.find("id: ", At)) != std::string::npos) {
    auto const Data = Received_.find("data: ", At);
    auto const End = Received_.find("\n\n", At);
    if (Data == std::string::npos || End == std::string::npos)
      break;
    Events[std::strtoull(Received_.c_str() + At + 4, nullptr, 10)] =
        Received_.substr(Data + 6, End - Data - 6);
    At = End;
  }
  return Events;
}

bool StreamClient::isComplete() const {
  return status() == 200 && Received_.ends_with("\r\n0\r\n\r\n");
}

VersionedFleet::VersionedFleet(unsigned Instances, Stop Stop,
                               std::string const &Program,
                               std::string const &FirstProgram)
    : Stop_(Stop) {
  Thread_.on([&] {
    StoreListener_ = std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Store_));
  });
  configureStreams({"desk"});
  for (unsigned Number = 0; Number < Instances; ++Number)
    Instances_.push_back(std::make_unique<EntryProcess>(
        Number, StoreListener_->localEndpoint().Port_,
        Number == 0 && !FirstProgram.empty() ? FirstProgram : Program));
}

void VersionedFleet::configureStreams(
    std::vector<std::string> const &Services) {
  Thread_.on([&] {
    auto Configuration = configurationJson(1);
    Configuration["version"] = ConfigurationVersion_++;
    // Long enough for an instance to be replaced meanwhile.
    for (auto &Route : Configuration["routes"]) {
      Route["timeout_ms"] = 8000;
      Route["target_latency_ms"] = 2000;
      if (Route["path_prefix"] != "/stream/")
        continue;
      Route.erase("service");
      for (auto const &Service : Services)
        Route["traffic_split"].push_back({{"service", Service}, {"weight", 1}});
    }
    for (auto const &Service : Services)
      if (Service != "desk")
        Configuration["services"].push_back({{"name", Service}});
    LastChange_ =
        "configuration_applied version=" + Configuration["version"].dump();
    Store_.put("config", "main", std::move(Configuration));
  });
}

VersionedFleet::~VersionedFleet() {
  Instances_.clear();
  Thread_.on([this] {
    StoreListener_->stopAccepting();
    Open_.clear();
    Paced_.clear();
    Servers_.clear();
  });
  Thread_.stop();
}

void VersionedFleet::startInstances() {
  for (std::size_t Number = 0; Number < Instances_.size(); ++Number) {
    prepareStart(Number);
    Instances_[Number]->start();
  }
  for (auto const &Instance : Instances_)
    Instance->process().awaitLine("fleet_changed live=" +
                                  std::to_string(Instances_.size()));
}

void VersionedFleet::prepareStart(std::size_t Instance) {
  std::vector<std::uint16_t> Ports;
  for (auto const &[Id, Server] : Listed_)
    Ports.push_back(Server.Endpoint_.Port_);
  Cuts_.prepareStart(Instance, Ports, StoreListener_->localEndpoint().Port_);
}

void VersionedFleet::launch(std::size_t Instance) {
  partition(Instance, Partition::None);
  prepareStart(Instance);
  Instances_[Instance]->launch();
}

void VersionedFleet::dropBetween(std::size_t From, std::size_t To) {
  if (From != To)
    Dropped_[From].insert(Instances_[To]->address());
}

void VersionedFleet::partition(std::size_t Instance, Partition Links) {
  bool const IsSending =
      Links != Partition::HearsOnly && Links != Partition::Store;
  auto const Next = (Instance + 1) % Instances_.size();
  auto const Address = Instances_[Instance]->address();
  Dropped_[Instance].clear();
  for (auto &[From, Dropped] : Dropped_)
    Dropped.erase(Address);
  for (std::size_t Other = 0; Other < Instances_.size(); ++Other) {
    if (Links == Partition::None || Links == Partition::Store ||
        (Links == Partition::ButOne && Other == Next))
      continue;
    if (Links != Partition::SendsOnly)
      dropBetween(Instance, Other);
    if (IsSending)
      dropBetween(Other, Instance);
  }
  if (Links != Partition::None && Links != Partition::OthersOnly)
    Dropped_[Instance].insert(LinkCuts::StoreLink);
  for (auto const &[From, Dropped] : Dropped_)
    Cuts_.drop(From, Dropped);
}

void VersionedFleet::breakStreams() {
  Thread_.on([this] {
    for (auto const &Peer : std::exchange(Open_, {})) {
      Peer->write(UnfinishedEvent);
      Peer->close();
    }
  });
}

std::map<std::string, unsigned> VersionedFleet::runsFromStart() {
  return Thread_.on([this] { return RunsFromStart_; });
}

void VersionedFleet::killAll() {
  for (auto const &Instance : Instances_)
    Instance->kill();
}

void VersionedFleet::list(std::string const &Id, std::string const &State) {
  auto const &Server = Listed_.at(Id);
  Store_.put("servers", Id,
             serverJson(Server.Endpoint_, State, Server.Born_, ++Sequence_,
                        Server.Version_, Server.Service_));
  LastChange_ = "server_changed server=" + Id +
                " revision=" + std::to_string(versionOf(1, Store_.revision()));
}

void VersionedFleet::breakPaced(Break How,
                                std::function<bool()> const &Choose) {
  Thread_.on([&] {
    for (auto const &Stream : std::set(Paced_)) {
      if (!Choose())
        continue;
      Paced_.erase(Stream);
      Stream->Timer_.cancel();
      if (How == Break::Reset) {
        Stream->Peer_->reset();
        continue;
      }
      writeEvent(*Stream, "id: " + std::to_string(Stream->Next_) + "\ndata: v");
      Stream->Peer_->close();
    }
  });
}

void VersionedFleet::setFraming(Framing Framing) {
  Thread_.on([&] { Framing_ = Framing; });
}

void VersionedFleet::setOddities(std::function<Oddity()> Choose) {
  Thread_.on([&] { ChooseOddity_ = std::move(Choose); });
}

void VersionedFleet::writeEvent(Paced const &Stream, std::string const &Bytes) {
  Stream.Peer_->write(Stream.Framing_ == Framing::Chunked ? chunk(Bytes)
                                                          : Bytes);
}

void VersionedFleet::endPaced(std::shared_ptr<Paced> const &Stream) {
  Paced_.erase(Stream);
  if (Stream->Framing_ == Framing::Closes)
    return Stream->Peer_->close();
  Stream->Peer_->write(LastChunk +
                       (Stream->Oddity_ == Oddity::AnswersAfter
                            ? extraAnswer(Stream->Peer_->field("X-Attempt-Id"))
                            : std::string()));
}

void VersionedFleet::writeNext(std::shared_ptr<Paced> const &Stream) {
  if (Stream->Next_ > StreamLength)
    return endPaced(Stream);
  // The second half of a stream begins with an event that comes twice.
  bool const IsRepeated = Stream->Oddity_ == Oddity::RepeatsEvent &&
                          Stream->Next_ == StreamLength / 2;
  for (int Time = 0; Time < (IsRepeated ? 2 : 1); ++Time)
    writeEvent(*Stream, event(Stream->Next_, Stream->Piece_));
  ++Stream->Next_;
  Stream->Timer_.expires_after(EventGap);
  Stream->Timer_.async_wait([this, Stream](asio::error_code) {
    if (Paced_.contains(Stream))
      writeNext(Stream);
  });
}

ScriptedServer::Script
VersionedFleet::pacedScriptOf(std::string const &Id,
                              std::string const &Version) {
  return [this, Id, Version](ScriptedServer::Peer &Peer,
                             std::string const &AttemptId, std::size_t) {
    auto const Expected = Peer.field("X-Expect-Instance");
    if (!Expected.empty() && Expected != Id)
      return Peer.write("HTTP/1.1 421 -\r\nX-Instance-Id: " + Id +
                        "\r\nContent-Length: 0\r\n\r\n");
    auto const Odd = ChooseOddity_();
    if (Odd == Oddity::AnswersBefore)
      Peer.write(extraAnswer("another-attempt"));
    auto const Framed = Framing_ != Framing::ByTurns ? Framing_
                        : LastRun_ % 2 == 0          ? Framing::Chunked
                                                     : Framing::Closes;
    Peer.write(streamHead(AttemptId, Framed == Framing::Chunked));
    auto const Last =
        Odd == Oddity::BeginsAnew
            ? 0
            : std::strtoull(Peer.field("Last-Event-Id").c_str(), nullptr, 10);
    auto const Stream = std::make_shared<Paced>(Paced{
        Peer.shared_from_this(),
        Version + ' ' + std::to_string(Last) + ' ' + std::to_string(++LastRun_),
        Last + 1, Framed, Odd, asio::steady_timer(Thread_.context())});
    Paced_.insert(Stream);
    writeNext(Stream);
  };
}

ScriptedServer::Script VersionedFleet::scriptOf(std::string const &Version) {
  return [this, Version](ScriptedServer::Peer &Peer,
                         std::string const &AttemptId, std::size_t Number) {
    Peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
               "\r\nX-Server-Stamp: stamp\r\n"
               "Content-Type: text/event-stream\r\n\r\n");
    auto const Last = Peer.field("Last-Event-Id");
    bool const IsNew = Last.empty();
    RunsFromStart_[AttemptId] += IsNew ? 1 : 0;
    auto const From = IsNew ? 0 : std::strtoull(Last.c_str(), nullptr, 10);
    // A server that failed all new streams would be avoided.
    bool const IsStopped = IsNew && (Stop_ == Stop::Waits || Number % 2 == 1);
    auto const End = IsStopped ? EventsBeforeStop : StreamLength;
    for (auto Id = From + 1; Id <= End; ++Id)
      Peer.write(event(Id, Version));
    if (IsStopped && Stop_ == Stop::Waits) {
      Open_.insert(Peer.shared_from_this());
      return;
    }
    if (IsStopped)
      Peer.write(UnfinishedEvent);
    Peer.close();
  };
}

void VersionedFleet::startServer(std::string const &Id,
                                 std::string const &Version,
                                 std::string const &Service,
                                 std::uint16_t Port) {
  Servers_[Id] = std::make_unique<ScriptedServer>(
      Thread_.context(),
      Stop_ == Stop::Paced ? pacedScriptOf(Id, Version) : scriptOf(Version),
      Port);
  Listed_[Id] = {Version, ++LastBorn_, Servers_[Id]->endpoint(), Service};
  if (Reports_ == ServerReports::Given)
    Servers_[Id]->setReport("{\"born\":" + std::to_string(LastBorn_) + '}');
}

void VersionedFleet::addServer(std::string const &Id,
                               std::string const &Version,
                               std::string const &Service) {
  Thread_.on([&] {
    startServer(Id, Version, Service, 0);
    list(Id, "ready");
  });
}

void VersionedFleet::restartServer(std::string const &Id,
                                   std::string const &Version) {
  Thread_.on([&] {
    auto const Old = Listed_.at(Id);
    endServer(Id);
    startServer(Id, Version, Old.Service_, Old.Endpoint_.Port_);
  });
}

void VersionedFleet::endServer(std::string const &Id) {
  auto const At = Servers_.find(Id);
  if (At == Servers_.end())
    return;
  At->second->stopListening();
  if (ProcessEnd_ == ProcessEnd::Closes)
    At->second->closeConnections();
  else
    At->second->resetConnections();
  Ended_.push_back(std::move(At->second));
  Servers_.erase(At);
}

void VersionedFleet::crashServer(std::string const &Id) {
  Thread_.on([&] { endServer(Id); });
}

void VersionedFleet::listRestarted(std::string const &Id) {
  Thread_.on([&] { list(Id, "ready"); });
}

void VersionedFleet::drainServer(std::string const &Id) {
  Thread_.on([&] { list(Id, "draining"); });
}

void VersionedFleet::removeServer(std::string const &Id) {
  Thread_.on([&] {
    // In Paced mode the process ends, its connections too.
    if (Stop_ == Stop::Paced)
      endServer(Id);
    Servers_.erase(Id);
    Listed_.erase(Id);
    Store_.remove("servers", Id);
    LastChange_ = "server_changed server=" + Id + " revision=0";
  });
}

void VersionedFleet::awaitList() {
  for (auto const &Instance : Instances_)
    Instance->process().awaitLine(LastChange_);
}

} // namespace laburnum::entry_process
