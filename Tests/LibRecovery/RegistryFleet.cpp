#include <LibRecovery/RegistryFleet.h>

#include <LibRecovery/StreamFailures.h>

#include <algorithm>

namespace laburnum::test {

namespace {

constexpr Duration Step = milliseconds(10);
constexpr int StepsPerTick = 10;

} // namespace

RegistryFleet::RegistryFleet(std::vector<std::string> const &Names,
                             NetworkFaults Faults, std::uint64_t Seed)
    : Faults_(Faults), Random_(Seed) {
  std::uint16_t Port = 1;
  for (auto const &Name : Names) {
    streams::Settings Settings;
    Settings.Self_.Id_ = InstanceId(Name);
    Settings.Self_.DataCentre_ = DataCentre(Name.substr(0, 1));
    Settings.Self_.Peers_ = {"127.0.0.1", Port++};
    auto &Made = Nodes_.try_emplace(Name, Settings).first->second;
    Made.Self_ = Settings.Self_;
  }
  notifyMembers();
}

void RegistryFleet::notifyMembers() {
  streams::MembersChanged Changed;
  for (auto const &[Name, One] : Nodes_)
    Changed.Members_.push_back({One.Self_, One.Liveness_, 0, 0});
  for (auto &[Name, One] : Nodes_)
    feed(One, Changed);
}

void RegistryFleet::setLiveness(std::string const &Name, Liveness Seen) {
  Nodes_.at(Name).Liveness_ = Seen;
  notifyMembers();
}

void RegistryFleet::kill(std::string const &Name) {
  Nodes_.at(Name).IsAlive_ = false;
  Nodes_.at(Name).Flows_.clear();
  for (auto &One : Connections_)
    if (One.Node_ == Name)
      One.Caller_->IsConnected_ = false;
  std::erase_if(Connections_,
                [&](Connection const &One) { return One.Node_ == Name; });
}

void RegistryFleet::leave(std::string const &Name, Duration Within) {
  setLiveness(Name, Liveness::Leaving);
  feed(Nodes_.at(Name), streams::LocalInstanceLeaving{Within});
}

void RegistryFleet::connect(TestCaller &Caller, std::string const &Name) {
  Caller.IsMoved_ = false;
  Caller.Failure_.reset();
  streams::StreamRequested Request;
  Request.Ticket_ = NextTicket_++;
  Request.Name_ = nameOf(Caller.Key_);
  Request.Content_ = {ServiceName("dossier-writer"),
                      Caller.Fingerprint_,
                      "prompt",
                      Caller.MaxTokens_,
                      0,
                      seconds(600)};
  Request.From_ = Caller.next();
  if (Request.From_ > 0)
    Request.Digest_ =
        digestOf(Caller.ReceivedTokens_, Caller.ReceivedTokens_.size());
  Request.Run_ = RequestId("run-" + std::to_string(Request.Ticket_));
  Waiting_[Request.Ticket_] = &Caller;
  feed(Nodes_.at(Name), Request);
}

void RegistryFleet::disconnect(TestCaller &Caller) {
  Caller.IsConnected_ = false;
  for (auto const &One : std::vector<Connection>(Connections_))
    if (One.Caller_ == &Caller)
      feed(Nodes_.at(One.Node_), streams::ReaderLeft{One.Name_, One.Reader_,
                                                     streams::Received::Part});
  std::erase_if(Connections_,
                [&](Connection const &One) { return One.Caller_ == &Caller; });
}

void RegistryFleet::feed(Node &Host, streams::Event const &Event) {
  if (!Host.IsAlive_)
    return;
  for (auto const &Action : Host.Registry_.handle(Event, Now_))
    std::visit([&](auto const &One) { perform(Host, One); }, Action);
}

void RegistryFleet::perform(Node &Host, SendToPeer const &Action) {
  Sent_.push_back(Action.Message_);
  auto const Chance = [this] { return Random_() % 100; };
  if (Chance() < Faults_.LostPercent_)
    return;
  auto const Copies = Chance() < Faults_.DuplicatedPercent_ ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    Duration const Delay(Random_() % (Faults_.MaxDelay_.count() + 1));
    InFlight_.push_back({Now_ + Delay, Host.Self_.Id_.text(), Action.To_.Port_,
                         Action.Message_});
  }
}

void RegistryFleet::perform(Node &Host, streams::StartStream const &Action) {
  end(Host, Action.Name_, true);
  Flow New;
  New.Epoch_ = Action.Epoch_;
  New.Tokens_ = Action.Produced_;
  New.Reported_ = New.Tokens_.size();
  New.MaxTokens_ = Action.Phase_ == StreamPhase::Complete
                       ? static_cast<std::uint32_t>(New.Tokens_.size())
                       : Action.Content_.MaxTokens_;
  New.RunId_ = std::to_string(++LastRunId_);
  Host.Flows_.insert_or_assign(Action.Name_, New);
  if (Action.Ticket_)
    attach(Host, *Action.Ticket_, Action.Name_);
}

void RegistryFleet::perform(Node &Host, streams::AttachReader const &Action) {
  attach(Host, Action.Ticket_, Action.Name_);
}

void RegistryFleet::attach(Node &Host, streams::Ticket Ticket,
                           StreamName const &Name) {
  auto &Caller = *Waiting_.at(Ticket);
  Waiting_.erase(Ticket);
  auto const &Tokens = Host.Flows_.at(Name).Tokens_;
  auto const From = Caller.ReceivedTokens_.size();
  if (From > Tokens.size() ||
      digestOf(Tokens, From) != digestOf(Caller.ReceivedTokens_, From)) {
    Caller.Failure_ = streams::detail::offsetUnknown();
    return;
  }
  for (auto &One : Connections_)
    if (One.Node_ == Host.Self_.Id_.text() && One.Name_ == Name)
      One.Caller_->IsMoved_ = true;
  std::erase_if(Connections_, [&](Connection const &One) {
    return One.Node_ == Host.Self_.Id_.text() && One.Name_ == Name;
  });
  Caller.IsConnected_ = true;
  Connections_.push_back({&Caller, Host.Self_.Id_.text(), Name, NextReader_,
                          Host.Flows_.at(Name).Epoch_});
  feed(Host, streams::ReaderAttached{Name, NextReader_++});
}

void RegistryFleet::perform(Node &, streams::RefuseStream const &Action) {
  Waiting_.at(Action.Ticket_)->Failure_ = Action.Failure_;
  Waiting_.erase(Action.Ticket_);
}

void RegistryFleet::perform(Node &Host, streams::CloseStream const &Action) {
  auto &Closed = Host.Flows_.at(Action.Name_);
  Closed.IsClosed_ = true;
  streams::Tokens Rest;
  if (Action.From_ < Closed.Tokens_.size())
    Rest = {Closed.Tokens_.begin() + Action.From_, Closed.Tokens_.end()};
  feed(Host, streams::StreamClosed{Action.Name_, Action.From_, Rest});
}

void RegistryFleet::end(Node const &Host, StreamName const &Name,
                        bool IsMoved) {
  read();
  std::erase_if(Connections_, [&](Connection const &One) {
    if (One.Node_ != Host.Self_.Id_.text() || One.Name_ != Name)
      return false;
    One.Caller_->IsConnected_ = false;
    One.Caller_->IsMoved_ = IsMoved;
    return true;
  });
}

void RegistryFleet::perform(Node &Host, streams::NotifyMoved const &Action) {
  end(Host, Action.Name_, true);
}

void RegistryFleet::perform(Node &Host,
                            streams::NotifySuperseded const &Action) {
  end(Host, Action.Name_, false);
}

void RegistryFleet::perform(Node &Host, streams::ForgetStream const &Action) {
  Host.Flows_.erase(Action.Name_);
}

void RegistryFleet::run(Duration Span) {
  auto const Until = Now_ + Span;
  while (Now_ < Until)
    step();
}

void RegistryFleet::runUntilTokens(TestCaller const &Caller,
                                   std::size_t Count) {
  constexpr int MaxSteps = 100'000;
  for (int Taken = 0; Caller.ReceivedTokens_.size() < Count && Taken < MaxSteps;
       ++Taken)
    step();
}

void RegistryFleet::step() {
  Now_ += Step;
  deliver();
  for (auto &[Name, One] : Nodes_)
    if (One.IsAlive_)
      generate(One);
  read();
  if (++Steps_ % StepsPerTick == 0) {
    for (auto &[Name, One] : Nodes_) {
      report(One);
      feed(One, streams::TimePassed{});
    }
  }
}

void RegistryFleet::deliver() {
  auto Arriving = std::move(InFlight_);
  InFlight_.clear();
  for (auto &One : Arriving) {
    if (One.Due_ > Now_) {
      InFlight_.push_back(std::move(One));
      continue;
    }
    for (auto &[Name, Node] : Nodes_) {
      auto &To = Node;
      if (To.Self_.Peers_.Port_ != One.To_ || Partitioned_.contains(Name) ||
          Partitioned_.contains(One.From_))
        continue;
      std::visit(
          [&](auto const &Message) {
            if constexpr (requires {
                            streams::PeerMessageReceived{{}, Message};
                          })
              feed(To, streams::PeerMessageReceived{InstanceId(One.From_),
                                                    Message});
          },
          One.Message_);
    }
  }
}

void RegistryFleet::generate(Node &Host) {
  for (auto &[Name, One] : Host.Flows_) {
    if (!One.IsClosed_ && One.Tokens_.size() < One.MaxTokens_)
      One.Tokens_.push_back(std::to_string(One.Tokens_.size()) + "/" +
                            One.RunId_);
  }
}

void RegistryFleet::report(Node &Host) {
  std::vector<streams::Event> Events;
  for (auto &[Name, One] : Host.Flows_) {
    if (One.IsClosed_ || One.Reported_ == One.Tokens_.size())
      continue;
    auto const From = static_cast<std::uint32_t>(One.Reported_);
    streams::Tokens const Rest(One.Tokens_.begin() + From, One.Tokens_.end());
    One.Reported_ = One.Tokens_.size();
    if (One.Tokens_.size() < One.MaxTokens_)
      Events.emplace_back(
          streams::TokensProduced{Name, One.Epoch_, From, Rest});
    else
      Events.emplace_back(streams::FlowEnded{
          Name, One.Epoch_, StreamPhase::Complete, From, Rest});
  }
  for (auto const &One : Events)
    feed(Host, One);
}

void RegistryFleet::read() {
  for (auto const &One : Connections_) {
    auto const &Flows = Nodes_.at(One.Node_).Flows_;
    auto const Found = Flows.find(One.Name_);
    if (Found == Flows.end() || Found->second.Epoch_ != One.Epoch_)
      continue;
    auto const &Tokens = Found->second.Tokens_;
    auto &Got = One.Caller_->ReceivedTokens_;
    if (Got.size() < Tokens.size())
      Got.insert(Got.end(),
                 Tokens.begin() + static_cast<std::ptrdiff_t>(Got.size()),
                 Tokens.end());
    One.Caller_->IsExact_ = Got == Tokens;
    One.Caller_->IsComplete_ = Got.size() == Found->second.MaxTokens_;
  }
}

std::vector<std::string>
RegistryFleet::generators(std::string const &Key) const {
  std::vector<std::string> Names;
  for (auto const &[Name, One] : Nodes_) {
    auto const Found = One.Flows_.find(nameOf(Key));
    if (One.IsAlive_ && Found != One.Flows_.end() && !Found->second.IsClosed_)
      Names.push_back(Name);
  }
  return Names;
}

StreamRegistry const &RegistryFleet::registry(std::string const &Name) const {
  return Nodes_.at(Name).Registry_;
}

} // namespace laburnum::test
