#include <FaultMatrix/World.h>

#include <LibModel/JsonCodec.h>

#include <algorithm>
#include <utility>

namespace laburnum::faults {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(100);
constexpr Duration LocalLatency = std::chrono::milliseconds(1);
constexpr Duration RemoteLatency = std::chrono::milliseconds(5);
constexpr Duration ListLag = std::chrono::seconds(1);
constexpr Duration StopPoll = std::chrono::milliseconds(10);
constexpr Duration RestartTime = std::chrono::milliseconds(500);
constexpr Duration CallSpacing = std::chrono::milliseconds(40);
constexpr std::uint64_t MaxDuplicateDelay = 300; ///< Milliseconds.
constexpr std::uint16_t FirstPort = 1000;

EntryInstance addressOf(std::size_t Number) {
  EntryInstance Created;
  Created.DataCentre_ = DataCentre(Number < 4 ? "near" : "far");
  Created.Peers_ = {"10.0.0.1", static_cast<std::uint16_t>(FirstPort + Number)};
  return Created;
}

BackendServer serverNamed(std::string const &Name, std::string const &Service,
                          std::string const &Location) {
  BackendServer Created;
  Created.Id_ = ServerId(Name);
  Created.Service_ = ServiceName(Service);
  Created.DataCentre_ = DataCentre(Location);
  Created.Endpoint_ = {"10.0.0.2", 80};
  return Created;
}

} // namespace

World::World(std::uint64_t Seed, Mutants ActiveMutants)
    : ActiveMutants_(std::move(ActiveMutants)),
      Platform_(Queue_, ActiveMutants_),
      Backends_(Queue_, Oracle_, ActiveMutants_, backendHooks()),
      Callers_(
          Queue_, Oracle_,
          [this](std::size_t Instance, Submission const &Submitted) {
            sendToInstance(Instance, Submitted);
          },
          [this](RequestId const &Id) { leaveInstance(Id); }, Instances),
      Hooks_(entryHooks()), Generator_(Seed), Hosts_(Instances),
      NextIncarnation_(Seed * 1000 + 1) {
  for (std::size_t Each = 0; Each < Instances; ++Each)
    Hosts_[Each].Address_ = addressOf(Each);
  configure();
  for (std::size_t Each = 0; Each < Instances; ++Each)
    start(Each);
  tick();
  run(std::chrono::seconds(2));
}

EntryHooks World::entryHooks() {
  return {Queue_,
          Platform_,
          Backends_,
          Oracle_,
          ActiveMutants_,
          [this](std::size_t From, SendToPeer const &Message) {
            sendToPeer(From, Message);
          },
          [this](RequestId const &Id, flow::SendToken const &Token) {
            Queue_.after(LocalLatency,
                         [=, this] { Callers_.onToken(Id, Token); });
          },
          [this](RequestId const &Id, FlowEnd const &End) {
            Queue_.after(LocalLatency, [=, this] { Callers_.onEnd(Id, End); });
          },
          [this] { return listing(); },
          [this](std::size_t Instance, std::size_t From) {
            return notices(Instance, From);
          },
          [this](Step Reached, StepLocation const &Location) {
            onStepReached(Reached, Location);
          }};
}

BackendFake::Hooks World::backendHooks() {
  return {[this](AttemptOwner const &Owner, ServerId const &Server,
                 flow::Event const &Event) {
            auto &Host = Hosts_[Owner.Instance_];
            if (Host.Entry_ && Host.Entry_->incarnation() == Owner.Incarnation_)
              Host.Entry_->deliver(
                  [=, &Host] { Host.Entry_->onAttempt(Owner, Server, Event); });
          },
          [this](Step Reached, StepLocation const &Location) {
            onStepReached(Reached, Location);
          },
          [this](std::size_t Instance, DataCentre const &Location) {
            return isPartitioned(Instance, Location);
          },
          [this](ServerId const &Server, AttemptOwner const &Owner) {
            onWork(Server, Owner);
          },
          [this](ServerId const &Server) { onCrash(Server); }};
}

// Instances

void World::start(std::size_t Number) {
  if (isRunning(Number))
    return;
  auto &Host = Hosts_[Number];
  auto const Incarnation = NextIncarnation_++;
  auto Self = Host.Address_;
  Self.Id_ = InstanceId("i" + std::to_string(Number) + "." +
                        std::to_string(Incarnation));
  Host.Address_ = Self;
  Host.ActiveSince_ = Queue_.now();
  Host.Entry_ = std::make_unique<Entry>(Hooks_, Number, Incarnation, Self);
  std::vector<EntryInstance> Others;
  for (auto const &Other : Hosts_)
    if (Other.Entry_ && &Other != &Host)
      Others.push_back(Other.Address_);
  Host.Entry_->setMembers(Others);
}

/// Ends the instance and breaks the connections of its callers.
void World::end(std::size_t Number) {
  Hosts_[Number].Entry_.reset();
  std::vector<RequestId> Broken;
  for (auto const &[Id, Location] : AssignedInstances_)
    if (Location.first == Number)
      Broken.push_back(Id);
  for (auto const &Id : Broken) {
    AssignedInstances_.erase(Id);
    Queue_.after(LocalLatency, [=, this] { Callers_.onBroken(Id); });
  }
}

void World::kill(std::size_t Number) {
  if (!isRunning(Number))
    return;
  end(Number);
  Queue_.after(RestartTime, [=, this] { start(Number); });
}

void World::pause(std::size_t Number) {
  if (!isRunning(Number) || Hosts_[Number].Entry_->isPaused())
    return;
  auto const Incarnation = Hosts_[Number].Entry_->incarnation();
  Hosts_[Number].Entry_->pause();
  Queue_.after(FaultTime, [=, this] {
    auto &Host = Hosts_[Number];
    if (!Host.Entry_ || Host.Entry_->incarnation() != Incarnation)
      return;
    Host.ActiveSince_ = Queue_.now();
    Host.Entry_->resume();
  });
}

void World::stopInstance(std::size_t Number) {
  if (!isRunning(Number))
    return;
  auto &Stopping = *Hosts_[Number].Entry_;
  Stopping.deliver([&Stopping] { Stopping.beginStop(); });
  finishStop(Number, Stopping.incarnation());
}

void World::finishStop(std::size_t Number, std::uint64_t Incarnation) {
  auto &Host = Hosts_[Number];
  if (!Host.Entry_ || Host.Entry_->incarnation() != Incarnation)
    return;
  bool const IsStopDelayed =
      Host.Entry_->isPaused() || Host.Entry_->inProgress() > 0;
  if (IsStopDelayed && !ActiveMutants_.contains(Mutant::StopAtOnce))
    return Queue_.after(StopPoll,
                        [=, this] { finishStop(Number, Incarnation); });
  if (Host.Entry_->inProgress() > 0)
    Oracle_.violate("a planned stop cut off requests in progress");
  // Answers that were just sent still reach their callers.
  Queue_.after(StopPoll, [=, this] {
    if (Hosts_[Number].Entry_ &&
        Hosts_[Number].Entry_->incarnation() == Incarnation)
      kill(Number);
  });
}

void World::tick() {
  Queue_.after(Tick, [this] { tick(); });
  for (auto &Host : Hosts_)
    if (Host.Entry_ && !Host.Entry_->isPaused())
      Host.Entry_->tick();
  for (auto &Each : Departures_) {
    auto const &Id = Each.first;
    auto &Departure = Each.second;
    bool const IsKnown =
        std::any_of(Hosts_.begin(), Hosts_.end(), [&](Host const &Each) {
          return Each.Entry_ && Each.Entry_->knowsOfDeparture(Id);
        });
    if (IsKnown && !Departure.KnownSince_)
      Departure.KnownSince_ = Queue_.now();
  }
}

bool World::isPartitioned(std::size_t Instance,
                          DataCentre const &Location) const {
  return AreDataCentresPartitioned_ &&
         Hosts_[Instance].Address_.DataCentre_ != Location;
}

void World::sendToPeer(std::size_t From, SendToPeer const &Message) {
  auto const To = static_cast<std::size_t>(Message.To_.Port_ - FirstPort);
  auto const &Sender = Hosts_[From].Address_;
  if (To >= Instances)
    return;
  bool const IsLocal = Sender.DataCentre_ == Hosts_[To].Address_.DataCentre_;
  auto const Deliver = [this, To, From, Id = Sender.Id_,
                        Content = Message.Message_] {
    if (!isPartitioned(From, Hosts_[To].Address_.DataCentre_))
      deliverToPeer(To, Id, Content);
  };
  Queue_.after(IsLocal ? LocalLatency : RemoteLatency, Deliver);
  if (AreMessagesDuplicated_)
    Queue_.after(std::chrono::milliseconds(Generator_() % MaxDuplicateDelay),
                 Deliver);
}

void World::deliverToPeer(std::size_t To, InstanceId const &From,
                          PeerMessage const &Message) {
  if (!isRunning(To))
    return;
  auto &Receiver = *Hosts_[To].Entry_;
  Receiver.deliver(
      [&Receiver, From, Message] { Receiver.onPeer(From, Message); });
}

InstanceListing World::listing() const {
  InstanceListing Seen;
  for (auto const &Host : Hosts_)
    if (Host.Entry_)
      Seen.EntryInstances_.push_back({Host.Address_, Liveness::Live});
  for (auto const &Location : {DataCentre("near"), DataCentre("far")})
    for (auto const &Id : Backends_.serversIn(Location)) {
      auto const Found = Departures_.find(Id);
      bool const IsListed =
          Found != Departures_.end() && Found->second.ListedFrom_ &&
          Queue_.now() >= *Found->second.ListedFrom_ + ListLag;
      Seen.Servers_.push_back(
          {Id, IsListed ? Liveness::Leaving : Liveness::Live});
    }
  return Seen;
}

std::vector<ReclaimNotice> World::notices(std::size_t Instance,
                                          std::size_t From) {
  if (OnlyNotifiedInstance_ && *OnlyNotifiedInstance_ != Instance)
    return {};
  std::vector<ReclaimNotice> Read;
  for (auto Next = From; Next < Notices_.size(); ++Next) {
    auto [Notice, GoneAt] = Notices_[Next];
    Notice.Remaining_ = GoneAt - Queue_.now();
    Read.push_back(std::move(Notice));
  }
  return Read;
}

// Callers

std::size_t World::call(std::string const &Key, Idempotence Kind,
                        std::size_t Instance, Duration Timeout) {
  if (Kind == Idempotence::NonIdempotent)
    Oracle_.mustRunOnce(Key);
  CallerRequest Request;
  Request.Account_ = AccountName("account");
  Request.Service_ = ServiceName("desk");
  Request.Idempotence_ = Kind;
  Request.Key_ = IdempotencyKey(Key);
  Request.Fingerprint_ = std::hash<std::string>()(Key);
  Request.Method_ = Kind == Idempotence::NonIdempotent ? "POST" : "GET";
  Request.Path_ = "/";
  return Callers_.start(std::move(Request), Instance, Timeout);
}

std::size_t World::stream(std::string const &Prompt, std::uint32_t Tokens,
                          std::size_t Instance) {
  CallerRequest Request;
  Request.Account_ = AccountName("account");
  Request.Service_ = ServiceName("writer");
  Request.Kind_ = ServiceKind::Model;
  Request.Key_ = IdempotencyKey(Prompt);
  Request.Fingerprint_ = std::hash<std::string>()(Prompt);
  Request.Prompt_ = Prompt;
  Request.MaxTokens_ = Tokens;
  return Callers_.start(std::move(Request), Instance, DefaultTimeout);
}

void World::generateLoad(Duration Span) {
  std::size_t Number = 0;
  for (Duration At{}; At < Span; At += CallSpacing, ++Number)
    Queue_.after(At, [this, Number] {
      call("load-" + std::to_string(Number), Idempotence::Idempotent,
           Number % Instances);
    });
}

void World::sendToInstance(std::size_t Number, Submission const &Submitted) {
  Queue_.after(LocalLatency, [=, this] {
    auto const &Id = Submitted.Request_.Id_;
    if (!isRunning(Number))
      return Callers_.onBroken(Id);
    auto &Receiver = *Hosts_[Number].Entry_;
    AssignedInstances_[Id] = {Number, Receiver.incarnation()};
    Receiver.deliver([&Receiver, Submitted] { Receiver.accept(Submitted); });
  });
}

void World::leaveInstance(RequestId const &Id) {
  auto const Found = AssignedInstances_.find(Id);
  if (Found == AssignedInstances_.end())
    return;
  auto const Number = Found->second.first;
  AssignedInstances_.erase(Found);
  if (!isRunning(Number))
    return;
  auto &Receiver = *Hosts_[Number].Entry_;
  Receiver.deliver([&Receiver, Id] { Receiver.callerDisconnected(Id); });
}

// Steps

void World::atStep(Step Awaited, std::string const &Key,
                   std::function<void(StepLocation const &)> Callback) {
  AwaitedStep_ = Awaited;
  AwaitedKey_ = Key;
  OnAwaitedStep_ = std::move(Callback);
}

void World::onStepReached(Step Reached, StepLocation const &Location) {
  if (AwaitedStep_ != Reached ||
      (!Location.Key_.empty() && Location.Key_ != AwaitedKey_))
    return;
  AwaitedStep_.reset();
  // Deferred, as a fault may destroy the instance whose event is being handled.
  Queue_.after(Duration(0), [Callback = std::exchange(OnAwaitedStep_, nullptr),
                             Location] { Callback(Location); });
}

void World::configure() {
  Service Desk;
  Desk.Name_ = ServiceName("desk");
  Desk.NonIdempotentCalls_ = {{"POST", "/"}};
  Service Writer;
  Writer.Name_ = ServiceName("writer");
  Writer.Kind_ = ServiceKind::Model;
  auto const Apply = [&](ObjectName const &Name, std::string const &Text) {
    applyChange({ChangeKind::Apply, Name, Text, ChangeId("setup-" + Name.Name_),
                 std::nullopt, "setup", 0},
                0);
  };
  Apply({ObjectKind::Service, "desk"}, encodeJson(Desk));
  Apply({ObjectKind::Service, "writer"}, encodeJson(Writer));
  for (auto const &Server :
       {serverNamed("p1", "desk", "near"), serverNamed("p2", "desk", "near"),
        serverNamed("p3", "desk", "far"), serverNamed("e1", "writer", "near"),
        serverNamed("e2", "writer", "near"),
        serverNamed("e3", "writer", "far")}) {
    Backends_.add(Server);
    Apply({ObjectKind::Server, Server.Id_.text()}, encodeJson(Server));
  }
}

} // namespace laburnum::faults
