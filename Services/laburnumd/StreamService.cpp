#include "StreamService.h"

#include <LibRecovery/StreamFailures.h>

#include <thread>
#include <utility>

namespace laburnum {

namespace {

constexpr Duration RegistryTick = std::chrono::milliseconds(100);
/// Interval between checks whether a stop would lose streams.
constexpr Duration SafetyPoll = std::chrono::milliseconds(20);
/// Time that flows get to notice that their streams were closed.
constexpr Duration FlowGrace = std::chrono::milliseconds(500);

StreamName nameOf(CallerRequest const &Request) {
  return {Request.Account_,
          Request.Key_.value_or(IdempotencyKey(Request.Id_.text()))};
}

StreamContent contentOf(CallerRequest const &Request, TimePoint Now) {
  return {Request.Service_,   Request.Fingerprint_, Request.Prompt_,
          Request.MaxTokens_, Request.Priority_,    Request.Deadline_ - Now};
}

std::uint32_t firstRequestedToken(ParsedRequest const &Read) {
  return Read.Form_.Streaming_ == Streaming::Yes ? Read.Request_.ResumeFrom_
                                                 : 0;
}

} // namespace

StreamService::StreamService(ControlThread &Control, TrafficView const &View,
                             MeteredFlows &Flows, MetricsRegistry &Metrics,
                             std::uint64_t Seed)
    : Control_(Control), View_(View), Flows_(Flows),
      HandedOver_(Metrics.counter("streams.handed_over", "streams")),
      TakenOver_(Metrics.counter("streams.taken_over", "streams")),
      Resumed_(Metrics.counter("streams.resumed", "streams")),
      CheckpointBytes_(Metrics.counter("streams.checkpoint_bytes", "bytes")),
      Identifiers_(Seed) {}

StreamService::~StreamService() { stop(); }

void StreamService::start(EntryInstance const &Self, Send Send) {
  Send_ = std::move(Send);
  streams::Settings Parameters;
  Parameters.Self_ = Self;
  Registry_ = std::make_unique<StreamRegistry>(Parameters);
  Control_.schedulePeriodically(RegistryTick, [this] {
    report();
    feed(streams::TimePassed{});
  });
}

StreamService::OpenResult StreamService::open(ParsedRequest const &Read,
                                              std::shared_ptr<void> Admission) {
  auto const &Request = Read.Request_;
  streams::StreamRequested Parameters;
  Parameters.Name_ = nameOf(Request);
  Parameters.From_ = firstRequestedToken(Read);
  if (Parameters.From_ > 0)
    Parameters.Digest_ = Request.ResumeDigest_;
  Parameters.Run_ = Request.Id_;
  if (!Request.Key_)
    Parameters.Naming_ = streams::Naming::ByThisInstance;
  auto Promise = std::make_shared<std::promise<ConnectResult>>();
  auto Future = Promise->get_future();
  Control_.post([this, Promise, Parameters, Request]() mutable {
    Parameters.Ticket_ = NextTicket_++;
    Parameters.Content_ = contentOf(Request, readClock());
    Waiting_.emplace(Parameters.Ticket_,
                     Waiter{std::move(*Promise), Parameters.Digest_});
    feed(Parameters);
  });
  auto const Outcome = Future.get();
  if (auto const *Failure = std::get_if<FailureAnswer>(&Outcome))
    return *Failure;
  auto const &Established = std::get<Connection>(Outcome);
  auto const OnDisconnect =
      [this, Name = Parameters.Name_,
       Reader = Established.Reader_](StreamReader::Outcome How) {
        auto const Received = How == StreamReader::Outcome::Complete
                                  ? streams::Received::Complete
                                  : streams::Received::Part;
        Control_.post([this, Name, Reader, Received] {
          feed(streams::ReaderLeft{Name, Reader, Received});
        });
      };
  return std::make_shared<StreamReader>(Established.Log_, Established.Reader_,
                                        Parameters.From_, std::move(Admission),
                                        OnDisconnect);
}

void StreamService::beginHandOver(Duration Within) {
  Control_.post(
      [this, Within] { feed(streams::LocalInstanceLeaving{Within}); });
}

bool StreamService::waitUntilSafe(Duration Timeout) {
  auto const Deadline = readClock() + Timeout;
  while (Control_.runAndWait([this] { return Registry_->streamsAtRisk(); }) >
         0) {
    if (readClock() >= Deadline)
      return false;
    std::this_thread::sleep_for(SafetyPoll);
  }
  return true;
}

/// Flows detect that their streams were closed when the next token arrives.
bool StreamService::stop() {
  Control_.post([this] {
    for (auto const &[Name, Item] : LocalStreams_)
      Item.Log_->markMoved();
  });
  std::unique_lock Lock(Mutex_);
  return ThreadEnded_.wait_for(Lock, FlowGrace,
                               [this] { return Threads_ == 0; });
}

void StreamService::membersChanged(std::vector<Member> const &Members) {
  feed(streams::MembersChanged{Members});
}

void StreamService::receive(InstanceId const &From,
                            PeerMessage const &Message) {
  if (auto const *Part = std::get_if<StreamCheckpoint>(&Message))
    feed(streams::PeerMessageReceived{From, *Part});
  else if (auto const *Query = std::get_if<StreamQuery>(&Message))
    feed(streams::PeerMessageReceived{From, *Query});
  else if (auto const *State = std::get_if<StreamState>(&Message))
    feed(streams::PeerMessageReceived{From, *State});
  else if (auto const *HandOver = std::get_if<StreamHandOver>(&Message))
    feed(streams::PeerMessageReceived{From, *HandOver});
}

/// Actions may cause further events; these are queued until the current
/// actions are done.
void StreamService::feed(streams::Event Event) {
  Events_.push_back(std::move(Event));
  if (std::exchange(IsFeeding_, true))
    return;
  while (!Events_.empty()) {
    auto const Next = std::move(Events_.front());
    Events_.pop_front();
    for (auto const &Action : Registry_->handle(Next, readClock()))
      std::visit([this](auto const &Item) { perform(Item); }, Action);
  }
  IsFeeding_ = false;
  countChanges();
}

void StreamService::perform(SendToPeer const &Action) { Send_(Action); }

void StreamService::perform(streams::StartStream const &Action) {
  auto const Log = std::make_shared<StreamLog>(Action.Produced_);
  auto const Previous = LocalStreams_.find(Action.Name_);
  if (Previous != LocalStreams_.end())
    Previous->second.Log_->markMoved();
  auto const Count = static_cast<std::uint32_t>(Action.Produced_.size());
  LocalStreams_.insert_or_assign(Action.Name_,
                                 LocalStream{Log, Action.Epoch_, Count});
  if (Action.Ticket_)
    connect(*Action.Ticket_, Action.Name_, Action.From_);
  if (Action.Phase_ == StreamPhase::Complete)
    return Log->finish();
  beginThread();
  std::thread([this, Name = Action.Name_, Epoch = Action.Epoch_,
               Request = requestOf(Action), Log] {
    runFlow(Name, Epoch, Request, Log);
    endThread();
  }).detach();
}

CallerRequest StreamService::requestOf(streams::StartStream const &Action) {
  auto const &Content = Action.Content_;
  CallerRequest Request;
  // Engines identify attempts by request and number, so each flow needs a
  // unique request identifier.
  Request.Id_ = RequestId(Identifiers_.next());
  Request.Account_ = Action.Name_.Account_;
  Request.Service_ = Content.Service_;
  Request.Kind_ = ServiceKind::Model;
  Request.Key_ = Action.Name_.Key_;
  Request.Fingerprint_ = Content.Fingerprint_;
  Request.Deadline_ = readClock() + Content.Remaining_;
  Request.Priority_ = Content.Priority_;
  if (auto const *Account = View_.configuration()->account(Request.Account_))
    Request.Worth_ = Account->Worth_;
  Request.Prompt_ = Content.Prompt_;
  Request.MaxTokens_ = Content.MaxTokens_;
  Request.ResumeFrom_ = static_cast<std::uint32_t>(Action.Produced_.size());
  Request.Produced_ = Action.Produced_;
  return Request;
}

void StreamService::runFlow(StreamName const &Name, StreamEpoch const &Epoch,
                            CallerRequest const &Request,
                            std::shared_ptr<StreamLog> const &Log) {
  auto const Report = Flows_.run(
      Request, [&Log](std::uint32_t Offset, std::string const &Text) {
        return Log->push(Offset, Text);
      });
  auto Phase = StreamPhase::Complete;
  if (auto const *Failed = std::get_if<flow::FinishFailed>(&Report.End_)) {
    Phase = StreamPhase::Stopped;
    Log->fail(Failed->Failure_);
  } else {
    Log->finish();
  }
  Control_.post([this, Name, Epoch, Phase] { reportEnd(Name, Epoch, Phase); });
}

void StreamService::beginThread() {
  std::lock_guard const Lock(Mutex_);
  ++Threads_;
}

void StreamService::endThread() {
  std::lock_guard const Lock(Mutex_);
  --Threads_;
  ThreadEnded_.notify_all();
}

void StreamService::perform(streams::AttachReader const &Action) {
  connect(Action.Ticket_, Action.Name_, Action.From_);
}

void StreamService::connect(streams::Ticket Ticket, StreamName const &Name,
                            std::uint32_t From) {
  auto const Found = LocalStreams_.find(Name);
  auto const Reader = NextReader_++;
  auto const &Digest = Waiting_.at(Ticket).Digest_;
  if (Found == LocalStreams_.end() ||
      !Found->second.Log_->attach(Reader, From, Digest))
    return resolve(Ticket, streams::detail::offsetUnknown());
  resolve(Ticket, Connection{Found->second.Log_, Reader});
  feed(streams::ReaderAttached{Name, Reader});
}

void StreamService::resolve(streams::Ticket Ticket, ConnectResult Outcome) {
  auto const Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end())
    return;
  Found->second.Promise_.set_value(std::move(Outcome));
  Waiting_.erase(Found);
}

void StreamService::perform(streams::RefuseStream const &Action) {
  resolve(Action.Ticket_, Action.Failure_);
}

void StreamService::perform(streams::CloseStream const &Action) {
  auto const Found = LocalStreams_.find(Action.Name_);
  if (Found == LocalStreams_.end())
    return;
  auto &Item = Found->second;
  Item.Log_->close();
  feed(streams::StreamClosed{Action.Name_, Action.From_,
                             Item.Log_->tokensFrom(Action.From_)});
}

void StreamService::perform(streams::NotifyMoved const &Action) {
  auto const Found = LocalStreams_.find(Action.Name_);
  if (Found != LocalStreams_.end())
    Found->second.Log_->markMoved();
}

void StreamService::perform(streams::NotifySuperseded const &Action) {
  auto const Found = LocalStreams_.find(Action.Name_);
  if (Found != LocalStreams_.end())
    Found->second.Log_->supersede(streams::detail::superseded());
}

void StreamService::perform(streams::ForgetStream const &Action) {
  LocalStreams_.erase(Action.Name_);
}

void StreamService::report() {
  std::vector<streams::Event> Pending;
  for (auto &[Name, Item] : LocalStreams_) {
    auto Tokens = Item.Log_->tokensFrom(Item.Reported_);
    if (Tokens.empty())
      continue;
    auto const From = Item.Reported_;
    Item.Reported_ += static_cast<std::uint32_t>(Tokens.size());
    Pending.emplace_back(
        streams::TokensProduced{Name, Item.Epoch_, From, std::move(Tokens)});
  }
  for (auto &Item : Pending)
    feed(std::move(Item));
}

void StreamService::reportEnd(StreamName const &Name, StreamEpoch const &Epoch,
                              StreamPhase Phase) {
  auto const Found = LocalStreams_.find(Name);
  if (Found == LocalStreams_.end() || Found->second.Epoch_ != Epoch)
    return;
  auto &Item = Found->second;
  auto Tokens = Item.Log_->tokensFrom(Item.Reported_);
  auto const From = Item.Reported_;
  Item.Reported_ += static_cast<std::uint32_t>(Tokens.size());
  feed(streams::FlowEnded{Name, Epoch, Phase, From, std::move(Tokens)});
}

void StreamService::countChanges() {
  auto const &Now = Registry_->counts();
  HandedOver_.add(Now.HandedOver_ - ReportedCounts_.HandedOver_);
  TakenOver_.add(Now.TakenOver_ - ReportedCounts_.TakenOver_);
  Resumed_.add(Now.Resumed_ - ReportedCounts_.Resumed_);
  CheckpointBytes_.add(Now.CheckpointBytes_ - ReportedCounts_.CheckpointBytes_);
  ReportedCounts_ = Now;
}

} // namespace laburnum
