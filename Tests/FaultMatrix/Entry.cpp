#include <FaultMatrix/Entry.h>

#include <LibFleet/UnusableServers.h>

#include <algorithm>
#include <utility>

namespace laburnum::faults {

namespace {

/// Latency between two threads of an instance.
constexpr Duration ThreadLatency = std::chrono::microseconds(100);
/// Ticks between two reads of the instance list.
constexpr std::uint64_t TicksPerListing = 5;

membership::Settings membershipSettings(EntryInstance const &Self,
                                        std::uint64_t Seed) {
  membership::Settings Made;
  Made.Self_ = Self;
  Made.Seed_ = Seed;
  return Made;
}

template <typename Kind, typename Handler>
void each(std::vector<Kind> const &Actions, Handler const &Handle) {
  for (auto const &Action : Actions)
    std::visit(Handle, Action);
}

} // namespace

Entry::Entry(EntryHooks const &Hooks, std::size_t Number,
             std::uint64_t Incarnation, EntryInstance Self)
    : Hooks_(Hooks), Number_(Number), Incarnation_(Incarnation),
      Self_(std::move(Self)), Guard_(Incarnation), Servers_(Incarnation),
      Chooser_(Servers_, Guard_, *this, Self_.Id_),
      Journal_({.Buckets_ = 2}, Incarnation),
      Configuration_({.Self_ = Self_, .Seed_ = Incarnation}),
      Directory_({.Self_ = Self_, .Seed_ = Incarnation}),
      Membership_(membershipSettings(Self_, Incarnation)) {}

void Entry::setMembers(std::vector<EntryInstance> const &Others) {
  InstanceListing Listing;
  for (auto const &Item : Others)
    Listing.EntryInstances_.push_back({Item, Liveness::Live});
  feed(membership::Event(membership::InstancesListed{Listing}));
}

void Entry::resume() {
  IsPaused_ = false;
  for (auto &Work : std::exchange(Backlog_, {}))
    later(Duration(0), std::move(Work));
}

void Entry::deliver(std::function<void()> Work) {
  if (IsPaused_)
    Backlog_.push_back(std::move(Work));
  else
    Work();
}

void Entry::later(Duration Delay, std::function<void()> Work) {
  Hooks_.Queue_.after(
      Delay, [this, Alive = std::weak_ptr(IsAlive_), Work = std::move(Work)] {
        if (!Alive.expired())
          deliver(Work);
      });
}

void Entry::tick() {
  feed(claims::Event(claims::TimePassed{}));
  feed(membership::Event(membership::TimePassed{}));
  feed(servers::Event(servers::TimePassed{}));
  feed(configuration::Event(configuration::TimePassed{}));
  Chooser_.onTimePassed(Hooks_.Queue_.now());
  readPlatform();
}

void Entry::readPlatform() {
  if (!Hooks_.Platform_.reaches(Number_))
    return;
  for (auto const &Notice : Hooks_.Notices_(Number_, NextNotice_)) {
    ++NextNotice_;
    feed(servers::Event(servers::NoticeReceived{Notice}));
  }
  if (++Ticks_ % TicksPerListing != 0)
    return;
  auto const Listing = Hooks_.Listing_();
  if (Hooks_.ActiveMutants_.contains(Mutant::ListOverridesNotice)) {
    for (auto const &Item : Listing.Servers_)
      if (Item.Liveness_ == Liveness::Live)
        Overridden_.insert(Item.Id_);
      else
        Overridden_.erase(Item.Id_);
    publish();
  }
  feed(membership::Event(membership::InstancesListed{Listing}));
  feed(servers::Event(servers::InstancesListed{Listing}));
}

void Entry::onPeer(InstanceId const &From, PeerMessage const &Message) {
  if (auto const *Item = std::get_if<Heartbeat>(&Message))
    return feed(membership::Event(membership::HeartbeatFromPeer{From, *Item}));
  if (auto const *Item = std::get_if<ServerLeavingNotice>(&Message))
    return feed(servers::Event(servers::NoticeFromPeer{*Item}));
  if (auto const *Item = std::get_if<CrashReports>(&Message))
    return onCrashReports(Item->Reports_);
  if (auto const *Item = std::get_if<ServerReserved>(&Message))
    return Chooser_.receive(From, *Item, Hooks_.Queue_.now());
  if (auto const *Item = std::get_if<ConfigurationDigest>(&Message))
    return feed(configuration::Event(configuration::DigestFromPeer{*Item}));
  if (auto const *Item = std::get_if<ConfigurationRequest>(&Message))
    return feed(configuration::Event(configuration::RequestFromPeer{*Item}));
  if (auto const *Item = std::get_if<ConfigurationObjects>(&Message)) {
    applyOutOfOrder(*Item);
    feed(configuration::Event(configuration::ObjectsFromPeer{*Item}));
  }
}

void Entry::applyOutOfOrder(ConfigurationObjects const &Message) {
  if (!Hooks_.ActiveMutants_.contains(Mutant::ApplyAnyVersion))
    return;
  for (auto const &Object : Message.Objects_)
    Hooks_.Oracle_.onObjectApplied(Self_.Id_, Object.Name_, Object.Version_);
}

void Entry::onLocalChange(ConfigurationObject const &Object) {
  feed(configuration::Event(configuration::LocalChangeAccepted{Object}));
}

std::vector<CrashReport> Entry::onCrash(BackendServer const &Server) {
  return Guard_.onCrash(Server, Hooks_.Queue_.now());
}

void Entry::onCrashReports(std::vector<CrashReport> const &Reports) {
  Guard_.merge(Reports, Hooks_.Queue_.now());
}

void Entry::beginStop() {
  feed(membership::Event(membership::LocalInstanceLeaving{}));
  Gate_.close();
}

bool Entry::knowsOfDeparture(ServerId const &Id) const {
  return Directory_.departures()->contains(Id);
}

bool Entry::knowsAlternativeTo(ServerId const &Excluded) const {
  auto const InForce = Configuration_.snapshot();
  auto const *const Server = InForce->server(Excluded);
  if (!Server)
    return false;
  auto const &Servers = InForce->serversOf(Server->Service_);
  return std::any_of(Servers.begin(), Servers.end(),
                     [&](BackendServer const &Item) {
                       return Item.Id_ != Excluded &&
                              !Directory_.departures()->contains(Item.Id_);
                     });
}

void Entry::publish() {
  std::set<ServerId> Leaving;
  if (!Hooks_.ActiveMutants_.contains(Mutant::IgnoreDepartures))
    for (auto const &Id :
         unusableServers(*Directory_.departures(), *Configuration_.snapshot()))
      if (!Overridden_.contains(Id))
        Leaving.insert(Id);
  Servers_.setSnapshot(Configuration_.snapshot(), Leaving);
  Chooser_.setSnapshot(Configuration_.snapshot(), std::move(Leaving));
}

// The decision cores of the control thread.

void Entry::feed(claims::Event const &Event) {
  each(Journal_.handle(Event, Hooks_.Queue_.now()),
       [this](auto const &Item) { perform(Item); });
}

void Entry::feed(configuration::Event const &Event) {
  each(Configuration_.handle(Event, Hooks_.Queue_.now()),
       [this](auto const &Item) { perform(Item); });
}

void Entry::feed(servers::Event const &Event) {
  each(Directory_.handle(Event, Hooks_.Queue_.now()),
       [this](auto const &Item) { perform(Item); });
}

void Entry::feed(membership::Event const &Event) {
  each(Membership_.handle(Event, Hooks_.Queue_.now()),
       [this](auto const &Item) { perform(Item); });
}

void Entry::perform(claims::ReadBucket const &Action) {
  Hooks_.Platform_.get(
      Number_, Action.Bucket_,
      [this, Action,
       Alive = std::weak_ptr(IsAlive_)](Result<StoredObject> const &Object) {
        if (!Alive.expired())
          deliver([=, this] {
            feed(claims::Event(claims::BucketRead{Action.Bucket_, Object}));
          });
      });
}

void Entry::perform(claims::WriteBucket const &Action) {
  bool const IsClaim = !PendingClaims_.empty();
  reportStep(IsClaim ? Step::ClaimWriteSent : Step::OutcomeWriteSent);
  Hooks_.Platform_.put(Number_, Action.Bucket_, Action.Expected_, Action.Value_,
                       [this, Action, Alive = std::weak_ptr(IsAlive_)](
                           Result<Version> const &Made) {
                         if (!Alive.expired())
                           deliver([=, this] {
                             feed(claims::Event(claims::BucketWritten{
                                 Action.Bucket_, Action.Nonce_, Made}));
                           });
                       });
}

void Entry::perform(claims::ResolveClaim const &Action) {
  auto const Found = PendingClaims_.find(Action.Ticket_);
  if (Found == PendingClaims_.end())
    return;
  auto const Claim = Found->second;
  PendingClaims_.erase(Found);
  bool const IsGranted = std::holds_alternative<ClaimGranted>(Action.Verdict_);
  if (IsGranted)
    reportStep(Step::ClaimGranted);
  later(ThreadLatency, [this, Claim, Action, IsGranted] {
    if (Calls_.contains(Claim.Request_))
      feed(Claim.Request_, flow::ClaimResolved{Action.Verdict_});
    else if (IsGranted)
      releaseClaim(Claim.Claim_);
  });
}

/// Releases a claim that was granted after its request had ended: nothing was
/// dispatched.
void Entry::releaseClaim(flow::MakeClaim const &Unused) {
  feed(claims::Event(claims::OutcomeKnown{
      Unused.Account_, Unused.Key_, {RunState::NotRun, {}}}));
}

void Entry::perform(configuration::ListCollection const &Action) {
  auto const Callback = [this, Action, Alive = std::weak_ptr(IsAlive_)](
                            Result<ObjectList> const &List) {
    if (Alive.expired())
      return;
    deliver([=, this] {
      if (isError(List))
        feed(configuration::Event(configuration::PlatformFailed{Action.Kind_}));
      else
        feed(configuration::Event(
            configuration::CollectionListed{Action.Kind_, valueOf(List)}));
    });
  };
  Hooks_.Platform_.list(Number_, toString(Action.Kind_), Callback);
}

void Entry::perform(configuration::WatchCollection const &Action) {
  auto const Callback = [this, Action, Alive = std::weak_ptr(IsAlive_)](
                            Result<WatchBatch> const &Batch) {
    if (Alive.expired())
      return;
    deliver([=, this] {
      if (isError(Batch))
        return feed(
            configuration::Event(configuration::PlatformFailed{Action.Kind_}));
      if (!valueOf(Batch).Objects_.empty())
        reportStep(Step::WatchAnswered);
      feed(configuration::Event(
          configuration::CollectionWatched{Action.Kind_, valueOf(Batch)}));
    });
  };
  Hooks_.Platform_.watch(Number_, toString(Action.Kind_), Action.From_,
                         Callback);
}

void Entry::perform(configuration::SnapshotChanged const &Action) {
  for (auto const &Object : Action.Changed_)
    Hooks_.Oracle_.onObjectApplied(Self_.Id_, Object.Name_, Object.Version_);
  feed(servers::Event(servers::ObjectsApplied{Action.Changed_}));
  feed(membership::Event(membership::LocalConfigurationChanged{
      Configuration_.version(), Configuration_.digest()}));
  publish();
}

void Entry::perform(membership::MembersChanged const &Action) {
  feed(configuration::Event(configuration::MembersChanged{Action.Members_}));
  feed(servers::Event(servers::MembersChanged{Action.Members_}));
  setGuardPeers(Action.Members_);
}

void Entry::perform(servers::DirectoryChanged const &Action) {
  publish();
  for (auto const &Server : Action.ChangedServers_) {
    auto const Found = Action.Departures_->find(Server);
    if (Found == Action.Departures_->end())
      continue;
    auto const GoneAt = Found->second.GoneAt_;
    auto const Remaining = GoneAt && *GoneAt > Hooks_.Queue_.now()
                               ? *GoneAt - Hooks_.Queue_.now()
                               : Duration(0);
    std::vector<RequestId> Open;
    for (auto const &[Id, Unused] : Calls_)
      Open.push_back(Id);
    for (auto const &Id : Open)
      feed(Id, flow::ServerLeaving{Server, Remaining});
  }
}

void Entry::perform(SendToPeer const &Action) {
  bool const IsConfigurationUpdate =
      std::holds_alternative<ConfigurationObjects>(Action.Message_);
  if (IsConfigurationUpdate)
    reportStep(Step::UpdateSent);
  if (IsConfigurationUpdate &&
      Hooks_.ActiveMutants_.contains(Mutant::DropConfigurationNews))
    return;
  Hooks_.SendToPeer_(Number_, Action);
}

} // namespace laburnum::faults
