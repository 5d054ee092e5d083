#include <LibFleet/Membership.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace laburnum {

using namespace membership;

namespace {

/// Members requested to ping a member that did not answer.
constexpr std::size_t IndirectPings = 2;
/// Members notified directly when this instance leaves.
constexpr std::size_t LeavingFanOut = 8;
constexpr std::size_t SeedsTried = 3;
/// Updates in the answer to a Join.
constexpr std::size_t JoinUpdates = 48;
/// The number of periods between two pings of Gone members.
constexpr std::uint64_t GonePeriods = 10;
/// How often an update of a member's configuration is retransmitted. Updates of
/// a member's state are retransmitted more often and take precedence.
constexpr std::uint32_t ConfigurationRetransmissions = 4;
constexpr std::uint32_t RetransmissionsPerDoubling = 3;
/// Gossip about another incarnation at a member's endpoint is accepted if
/// nothing was received from the member for this time: two probe periods.
constexpr std::chrono::seconds PreviousIncarnationSilence{2};

Liveness livenessOf(MemberState State) {
  switch (State) {
  case MemberState::Alive:
  case MemberState::Suspect:
    return Liveness::Live;
  case MemberState::Leaving:
    return Liveness::Leaving;
  case MemberState::Gone:
    return Liveness::Gone;
  }
  return Liveness::Gone;
}

bool isNewerState(MemberUpdate const &New, MemberUpdate const &Old) {
  if (New.IncarnationNumber_ != Old.IncarnationNumber_)
    return New.IncarnationNumber_ > Old.IncarnationNumber_;
  return New.State_ > Old.State_;
}

Member memberOf(MemberUpdate const &Update, TimePoint HeardAt) {
  return {Update.Instance_, livenessOf(Update.State_),
          Update.ConfigurationVersion_, Update.ConfigurationDigest_, HeardAt};
}

} // namespace

Membership::Membership(membership::Settings Settings)
    : Settings_(std::move(Settings)), Generator_(Settings_.Seed_) {
  Self_.Instance_ = Settings_.Self_;
}

std::vector<Action> Membership::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  Changed_ = false;
  std::visit([&](auto const &Each) { on(Each); }, Event);
  if (Changed_)
    Actions_.emplace_back(MembersChanged{members()});
  return std::move(Actions_);
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Members = {memberOf(Self_, Now_)};
  for (auto const &[Id, Other] : Others_)
    Members.push_back(memberOf(Other.Update_, Other.LastReceivedAt_));
  std::sort(Members.begin(), Members.end(),
            [](Member const &Left, Member const &Right) {
              return Left.Instance_.Id_ < Right.Instance_.Id_;
            });
  return Members;
}

// The instance list and members' messages.

/// Every instance reads the list, so that its contents are not gossiped.
void Membership::on(InstancesListed const &Event) {
  for (auto const &Listed : Event.Listing_.EntryInstances_) {
    // The list may lag: an instance listed at this endpoint may be a previous
    // incarnation.
    if (Listed.Instance_.Peers_ == Self_.Instance_.Peers_)
      continue;
    auto const Found = Others_.find(Listed.Instance_.Id_);
    if (Found == Others_.end() && Listed.Liveness_ != Liveness::Gone) {
      if (isEndpointTaken(Listed.Instance_))
        continue;
      MemberUpdate Update;
      Update.Instance_ = Listed.Instance_;
      Others_[Listed.Instance_.Id_] = {Update, Now_, 0, Now_};
      Changed_ = true;
    }
    if (Listed.Liveness_ == Liveness::Leaving &&
        Others_[Listed.Instance_.Id_].Update_.State_ < MemberState::Leaving)
      setState(Listed.Instance_.Id_, MemberState::Leaving);
  }
}

void Membership::on(HeartbeatFromPeer const &Event) {
  auto const &Message = Event.Heartbeat_;
  if (Message.Updates_.empty() ||
      Message.Updates_.front().Instance_.Id_ != Event.From_ ||
      Event.From_ == Self_.Instance_.Id_)
    return;
  for (auto const &Update : Message.Updates_)
    merge(Update);
  auto const Sender = Others_.find(Event.From_);
  if (Sender != Others_.end()) {
    Sender->second.LastReceivedAt_ = Now_;
    markPreviousIncarnationsGone(Sender->second.Update_.Instance_, Duration(0));
  }
  answer(Message.Updates_.front().Instance_.Peers_, Event.From_, Message);
}

/// Joins through the peer, whose own messages carry only a part of the members.
void Membership::on(IntroducedByPeer const &Event) {
  Settings_.Seeds_.push_back(Event.Peer_);
  contactSeeds();
}

void Membership::answer(Endpoint const &To, InstanceId const &Asker,
                        Heartbeat const &Message) {
  Heartbeat const Answer{HeartbeatKind::Acknowledge, Message.Sequence_, {}, {}};
  switch (Message.Kind_) {
  case HeartbeatKind::Ping:
    return send(To, Asker, Answer);
  case HeartbeatKind::Join: {
    auto Full = Answer;
    Full.Updates_ = updates(Asker, JoinUpdates);
    Actions_.emplace_back(SendToPeer{To, std::move(Full)});
    return;
  }
  case HeartbeatKind::Acknowledge:
    return acknowledged(Message.Sequence_);
  case HeartbeatKind::PingRequest:
    return relayPing(To, Message);
  case HeartbeatKind::Gossip:
    return;
  }
}

void Membership::merge(MemberUpdate const &Update) {
  auto const &Id = Update.Instance_.Id_;
  if (Id == Self_.Instance_.Id_)
    return refute(Update);
  auto const Found = Others_.find(Id);
  if (Found == Others_.end()) {
    // Old gossip must not revive an unreachable member.
    if (Update.State_ == MemberState::Gone ||
        Update.Instance_.Peers_ == Self_.Instance_.Peers_)
      return;
    Others_[Id] = {Update, Now_, retransmissions(), Now_};
    Changed_ = true;
    markPreviousIncarnationsGone(Update.Instance_, PreviousIncarnationSilence);
    return;
  }
  auto &Held = Found->second;
  mergeConfiguration(Held, Update);
  if (!isNewerState(Update, Held.Update_))
    return;
  Changed_ |= livenessOf(Held.Update_.State_) != livenessOf(Update.State_);
  Held.Update_.State_ = Update.State_;
  Held.Update_.IncarnationNumber_ = Update.IncarnationNumber_;
  Held.Since_ = Now_;
  Held.RetransmissionsLeft_ = retransmissions();
}

void Membership::mergeConfiguration(KnownMember &Held,
                                    MemberUpdate const &Update) {
  if (Update.ConfigurationVersion_ <= Held.Update_.ConfigurationVersion_)
    return;
  Held.Update_.ConfigurationVersion_ = Update.ConfigurationVersion_;
  Held.Update_.ConfigurationDigest_ = Update.ConfigurationDigest_;
  Held.RetransmissionsLeft_ =
      std::max(Held.RetransmissionsLeft_, ConfigurationRetransmissions);
  Held.LastReceivedAt_ = Now_;
}

/// Refutes a suspicion of this instance by raising its incarnation number; this
/// instance's update goes out first in each message.
void Membership::refute(MemberUpdate const &Update) {
  if (Update.State_ > Self_.State_ &&
      Update.IncarnationNumber_ >= Self_.IncarnationNumber_)
    Self_.IncarnationNumber_ = Update.IncarnationNumber_ + 1;
}

bool Membership::isEndpointTaken(EntryInstance const &Current) const {
  return std::any_of(Others_.begin(), Others_.end(), [&](auto const &Entry) {
    auto const &Update = Entry.second.Update_;
    return Update.Instance_.Peers_ == Current.Peers_ &&
           Update.State_ != MemberState::Gone;
  });
}

void Membership::markPreviousIncarnationsGone(EntryInstance const &Current,
                                              Duration MinSilence) {
  if (Current.Peers_ == Endpoint())
    return;
  for (auto &[Id, Other] : Others_)
    if (Id != Current.Id_ && Other.Update_.Instance_.Peers_ == Current.Peers_ &&
        Other.Update_.State_ != MemberState::Gone &&
        Other.LastReceivedAt_ + MinSilence <= Now_)
      setState(Id, MemberState::Gone);
}

void Membership::setState(InstanceId const &Id, MemberState State) {
  auto &Held = Others_[Id];
  Changed_ |= livenessOf(Held.Update_.State_) != livenessOf(State);
  Held.Update_.State_ = State;
  Held.Since_ = Now_;
  Held.RetransmissionsLeft_ = retransmissions();
}

// The local instance's state.

void Membership::on(LocalConfigurationChanged const &Event) {
  Self_.ConfigurationVersion_ = Event.Version_;
  Self_.ConfigurationDigest_ = Event.Digest_;
}

void Membership::on(LocalInstanceLeaving const & /*Event*/) {
  if (Self_.State_ == MemberState::Leaving)
    return;
  Self_.State_ = MemberState::Leaving;
  Changed_ = true;
  for (auto const &Id : randomReachable(LeavingFanOut))
    send(Others_[Id].Update_.Instance_.Peers_, Id,
         {HeartbeatKind::Gossip, 0, {}, {}});
}

// Probing.

void Membership::on(TimePassed const & /*Event*/) {
  if (Probe_ && !Probe_->IsIndirectSent_ &&
      Now_ >= Probe_->Started_ + Settings_.PingTimeout_)
    sendIndirectPings();
  if (NextPeriod_ && Now_ < *NextPeriod_)
    return;
  NextPeriod_ = Now_ + Settings_.Period_;
  ++Periods_;
  endProbe();
  expire();
  contactSeeds();
  if (Periods_ % GonePeriods == 0)
    pingGone();
  startProbe();
}

void Membership::startProbe() {
  auto const Target = nextTarget();
  if (!Target)
    return;
  Probe_ = Probe{*Target, NextSequence_++, Now_, false};
  send(Others_[*Target].Update_.Instance_.Peers_, *Target,
       {HeartbeatKind::Ping, Probe_->Sequence_, {}, {}});
}

void Membership::sendIndirectPings() {
  Probe_->IsIndirectSent_ = true;
  for (auto const &Id : randomReachable(IndirectPings + 1)) {
    if (Id == Probe_->Target_)
      continue;
    send(Others_[Id].Update_.Instance_.Peers_, Id,
         {HeartbeatKind::PingRequest, Probe_->Sequence_, Probe_->Target_, {}});
  }
}

/// An unanswered probe makes an alive member suspect. A leaving member is Gone
/// at once, without time to refute.
void Membership::endProbe() {
  if (!Probe_)
    return;
  auto const Target = std::exchange(Probe_, std::nullopt)->Target_;
  auto const Found = Others_.find(Target);
  if (Found == Others_.end())
    return;
  if (Found->second.Update_.State_ == MemberState::Alive)
    setState(Target, MemberState::Suspect);
  else if (Found->second.Update_.State_ == MemberState::Leaving)
    setState(Target, MemberState::Gone);
}

void Membership::acknowledged(std::uint64_t Sequence) {
  if (Probe_ && Probe_->Sequence_ == Sequence)
    Probe_.reset();
  auto const Found =
      std::find_if(Relays_.begin(), Relays_.end(), [&](Relay const &Entry) {
        return Entry.Sequence_ == Sequence;
      });
  if (Found == Relays_.end())
    return;
  auto const Answered = *Found;
  Relays_.erase(Found);
  send(Answered.ReplyTo_, {},
       {HeartbeatKind::Acknowledge, Answered.OriginalSequence_, {}, {}});
}

void Membership::relayPing(Endpoint const &ReplyTo, Heartbeat const &Request) {
  auto const Found = Others_.find(Request.Target_);
  if (Found == Others_.end())
    return;
  Relays_.push_back({NextSequence_, Request.Sequence_, ReplyTo, Now_});
  send(Found->second.Update_.Instance_.Peers_, Request.Target_,
       {HeartbeatKind::Ping, NextSequence_++, {}, {}});
}

void Membership::expire() {
  std::erase_if(Relays_, [&](Relay const &Entry) {
    return Now_ >= Entry.Started_ + Settings_.Period_;
  });
  for (auto &[Id, Other] : Others_) {
    if (Other.Update_.State_ == MemberState::Suspect &&
        Now_ >= Other.Since_ + Settings_.SuspicionTimeout_)
      setState(Id, MemberState::Gone);
  }
  auto const Forgotten = std::erase_if(Others_, [&](auto const &Entry) {
    return Entry.second.Update_.State_ == MemberState::Gone &&
           Now_ >= Entry.second.Since_ + Settings_.GoneRetention_;
  });
  Changed_ |= Forgotten > 0;
}

void Membership::contactSeeds() {
  if (!withState(MemberState::Alive, MemberState::Leaving).empty())
    return;
  auto Seeds = Settings_.Seeds_;
  std::erase(Seeds, Self_.Instance_.Peers_);
  std::shuffle(Seeds.begin(), Seeds.end(), Generator_);
  Seeds.resize(std::min(Seeds.size(), SeedsTried));
  for (auto const &Seed : Seeds)
    send(Seed, {}, {HeartbeatKind::Join, NextSequence_++, {}, {}});
}

/// The ping carries the update that the member is Gone, which the member
/// refutes if it is still running.
void Membership::pingGone() {
  auto Gone = withState(MemberState::Gone, MemberState::Gone);
  // A previous incarnation of a member that is there never answers.
  std::erase_if(Gone, [&](InstanceId const &Id) {
    return isEndpointTaken(Others_[Id].Update_.Instance_);
  });
  if (Gone.empty())
    return;
  auto const &Id = Gone[Generator_() % Gone.size()];
  send(Others_[Id].Update_.Instance_.Peers_, Id,
       {HeartbeatKind::Ping, NextSequence_++, {}, {}});
}

std::vector<InstanceId> Membership::withState(MemberState First,
                                              MemberState Last) const {
  std::vector<InstanceId> Found;
  for (auto const &[Id, Other] : Others_)
    if (Other.Update_.State_ >= First && Other.Update_.State_ <= Last)
      Found.push_back(Id);
  return Found;
}

std::vector<InstanceId> Membership::randomReachable(std::size_t Count) {
  auto Found = withState(MemberState::Alive, MemberState::Leaving);
  std::shuffle(Found.begin(), Found.end(), Generator_);
  Found.resize(std::min(Found.size(), Count));
  return Found;
}

/// Round robin in random order, so that each member is probed within bounded
/// time.
std::optional<InstanceId> Membership::nextTarget() {
  if (ProbeOrder_.empty())
    ProbeOrder_ = randomReachable(Others_.size());
  while (!ProbeOrder_.empty()) {
    auto const Id = std::move(ProbeOrder_.back());
    ProbeOrder_.pop_back();
    auto const Found = Others_.find(Id);
    if (Found != Others_.end() &&
        Found->second.Update_.State_ != MemberState::Gone)
      return Id;
  }
  return std::nullopt;
}

// Gossip.

void Membership::send(Endpoint const &To, InstanceId const &Receiver,
                      Heartbeat Message) {
  Message.Updates_ = updates(Receiver, Settings_.UpdatesPerMessage_);
  Actions_.emplace_back(SendToPeer{To, std::move(Message)});
}

std::vector<MemberUpdate> Membership::updates(InstanceId const &To,
                                              std::size_t Limit) {
  std::vector<MemberUpdate> Chosen = {Self_};
  auto const Found = Others_.find(To);
  if (Found != Others_.end() &&
      Found->second.Update_.State_ != MemberState::Alive)
    Chosen.push_back(Found->second.Update_);
  addFreshest(Chosen, Limit + 1);
  addRandom(Chosen, Limit + 1);
  return Chosen;
}

void Membership::addFreshest(std::vector<MemberUpdate> &Into,
                             std::size_t Limit) {
  std::vector<KnownMember *> Recent;
  for (auto &[Id, Other] : Others_)
    if (Other.RetransmissionsLeft_ > 0)
      Recent.push_back(&Other);
  auto const Count =
      std::min(Recent.size(), Limit - std::min(Limit, Into.size()));
  std::partial_sort(
      Recent.begin(), Recent.begin() + static_cast<std::ptrdiff_t>(Count),
      Recent.end(), [](KnownMember const *Left, KnownMember const *Right) {
        return Left->RetransmissionsLeft_ > Right->RetransmissionsLeft_;
      });
  for (std::size_t Each = 0; Each < Count; ++Each) {
    --Recent[Each]->RetransmissionsLeft_;
    Into.push_back(Recent[Each]->Update_);
  }
}

void Membership::addRandom(std::vector<MemberUpdate> &Into, std::size_t Limit) {
  if (Into.size() >= Limit || Others_.empty())
    return;
  std::vector<MemberUpdate const *> Choices;
  for (auto const &[Id, Other] : Others_)
    Choices.push_back(&Other.Update_);
  std::vector<MemberUpdate const *> Picked;
  std::sample(Choices.begin(), Choices.end(), std::back_inserter(Picked),
              Limit - Into.size(), Generator_);
  for (auto const *Update : Picked)
    if (std::find(Into.begin(), Into.end(), *Update) == Into.end())
      Into.push_back(*Update);
}

std::uint32_t Membership::retransmissions() const {
  return RetransmissionsPerDoubling *
         static_cast<std::uint32_t>(std::bit_width(Others_.size() + 1));
}

} // namespace laburnum
