#include <LibControl/PeerNetwork.h>

#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace laburnum {

namespace {

constexpr char const *InstanceCollection = "entry-instances";
constexpr std::chrono::milliseconds StoreTimeout{1500};
constexpr std::chrono::milliseconds RetryPause{500};
/// A store that is there has answered by then. Waiting for it saves calls: an
/// instance that knows only a part of a large fleet reads more itself.
constexpr std::chrono::milliseconds IntroductionPause{500};
/// Newly registered instances contact those that they find in the list;
/// periodic listings find any that were missed and those that are gone.
constexpr std::chrono::seconds ListPeriod{20};
/// In a large fleet each instance lists less often, as gossip carries the same
/// information.
constexpr std::chrono::milliseconds PausePerInstance{500};
/// Right after the start the others may be starting, too, and a list may lag;
/// the interval doubles until it reaches the usual one.
constexpr std::chrono::milliseconds FirstListPause{500};
constexpr std::chrono::milliseconds TickPeriod{200};

ObjectKey secretKey() { return {"entry-secrets", "peers"}; }

std::string encodeInstance(EntryInstance const &Instance) {
  nlohmann::json Value;
  Value["id"] = Instance.Id_.text();
  Value["data_centre"] = Instance.DataCentre_.text();
  Value["host"] = Instance.Peers_.Host_;
  Value["port"] = Instance.Peers_.Port_;
  return dumpJson(Value);
}

std::optional<EntryInstance> decodeInstance(std::string const &Text) {
  auto const Value = nlohmann::json::parse(Text, nullptr, false);
  EntryInstance Decoded;
  try {
    Decoded.Id_ = InstanceId(Value.at("id").get<std::string>());
    Decoded.DataCentre_ =
        DataCentre(Value.at("data_centre").get<std::string>());
    Decoded.Peers_ = {Value.at("host").get<std::string>(),
                      Value.at("port").get<std::uint16_t>()};
  } catch (nlohmann::json::exception const &) {
    return std::nullopt; // Not written by this system.
  }
  return Decoded;
}

/// An endpoint belongs to one instance, whatever its incarnations.
std::size_t countInstances(std::vector<Member> const &Members) {
  std::set<Endpoint> Endpoints;
  for (auto const &Known : Members)
    Endpoints.insert(Known.Instance_.Peers_);
  return Endpoints.size();
}

membership::Settings membershipOf(EntryInstance const &Self,
                                  std::uint64_t Seed) {
  membership::Settings Settings;
  Settings.Self_ = Self;
  Settings.Seed_ = Seed;
  Settings.SuspicionTimeout_ = std::chrono::seconds(2);
  return Settings;
}

} // namespace

PeerNetwork::PeerNetwork(asio::io_context &Context, AsyncObjectStore &Store,
                         std::string Name, EntryInstance Self,
                         std::uint64_t Seed, Callbacks Callbacks)
    : Context_(Context), Store_(Store), Name_(std::move(Name)),
      Self_(std::move(Self)), Membership_(membershipOf(Self_, Seed)),
      Identifiers_(Seed + 1), Callbacks_(std::move(Callbacks)),
      OpenTimer_(Context), TickTimer_(Context), StoreTimer_(Context),
      RegisterTimer_(Context) {}

void PeerNetwork::start() {
  View_.Members_ = Membership_.members();
  obtainSecret(ReadConsistency::MayLag);
  scheduleAfter(OpenTimer_, IntroductionPause, &PeerNetwork::openTransport);
}

void PeerNetwork::scheduleAfter(asio::steady_timer &Timer, Duration Pause,
                                void (PeerNetwork::*Next)()) {
  Timer.expires_after(Pause);
  Timer.async_wait([Self = shared_from_this(), Next](asio::error_code Failure) {
    if (!Failure)
      (Self.get()->*Next)();
  });
}

/// The first instance creates the secret, also in place of what is none; the
/// others read it. It never changes, so a lagging read is sufficient. A secret
/// known from a peer, which the store may have lost, is not replaced by another
/// one.
void PeerNetwork::obtainSecret(ReadConsistency Consistency) {
  auto const Self = shared_from_this();
  Store_.get(
      secretKey(), Consistency, StoreTimeout,
      [Self, Consistency](Result<StoredObject> Read) {
        if (isError(Read))
          return Self->scheduleAfter(Self->StoreTimer_, RetryPause,
                                     &PeerNetwork::obtainLatestSecret);
        auto const Stored =
            nlohmann::json::parse(valueOf(Read).Value_, nullptr, false);
        auto const Secret = valueOf(Read).Version_ != 0 && Stored.is_string()
                                ? Stored.get<std::string>()
                                : std::string();
        if (!Secret.empty())
          return Self->onStoredSecret(Secret);
        if (Consistency == ReadConsistency::MayLag)
          return Self->obtainLatestSecret();
        nlohmann::json const Created =
            Self->Secret_.empty() ? Self->Identifiers_.next() : Self->Secret_;
        Self->Store_.putIf(
            secretKey(), valueOf(Read).Version_, Created.dump(), StoreTimeout,
            [Self](Result<Version> const &) { Self->obtainLatestSecret(); });
      });
}

void PeerNetwork::obtainLatestSecret() {
  obtainSecret(ReadConsistency::Latest);
}

void PeerNetwork::onStoreRestored(SecretKeeper Keeper) {
  if (!Transport_ || !IsSecretStored_ || IsLeaving_)
    return;
  WasRegistered_ = true;
  registerSelf();
  if (Keeper == SecretKeeper::Yes)
    Store_.putIf(secretKey(), 0, nlohmann::json(Secret_).dump(), StoreTimeout,
                 [](Result<Version> const &) {
                   // A conflict means that it was not lost. Instances that
                   // start need it, and try until they find one.
                 });
}

void PeerNetwork::onStoredSecret(std::string const &Secret) {
  if (!Secret_.empty() && Secret_ != Secret)
    Callbacks_.Failed_(
        {ErrorKind::Conflict,
         "a peer had another secret than the store, whose secret is now used",
         "restart the instances that don't reach the others"});
  Secret_ = Secret;
  IsSecretStored_ = true;
  if (Transport_)
    Transport_->setSecret(Secret_);
  else
    openTransport();
  listInstances();
}

void PeerNetwork::onIntroduced(Hello const &Greeting) {
  Secret_ = Greeting.Secret_;
  Callbacks_.Introduced_(Greeting.Sender_);
  handle(membership::IntroducedByPeer{Greeting.Sender_.Peers_});
}

void PeerNetwork::openTransport() {
  if (Transport_ || IsLeaving_)
    return;
  PeerTransportSettings Settings;
  Settings.Secret_ = Secret_;
  Settings.Self_ = Self_;
  Settings.Introduced_ = [Self = weak_from_this()](Hello const &Greeting) {
    if (auto const Network = Self.lock())
      Network->onIntroduced(Greeting);
  };
  auto Created = AsioPeerTransport::create(
      Context_, Settings,
      [Self = weak_from_this()](InstanceId const &From,
                                PeerMessage const &Message) {
        auto const Network = Self.lock();
        if (!Network)
          return;
        if (auto const *const Received = std::get_if<Heartbeat>(&Message))
          return Network->handle(
              membership::HeartbeatFromPeer{From, *Received});
        Network->Callbacks_.Received_(From, Message);
      });
  if (isError(Created)) {
    if (errorOf(Created).Kind_ == ErrorKind::Unavailable)
      scheduleAfter(OpenTimer_, RetryPause, &PeerNetwork::openTransport);
    return Callbacks_.Failed_(errorOf(Created));
  }
  Transport_ = takeValue(std::move(Created));
  Callbacks_.Opened_();
  if (Listings_ > 0)
    registerSelf();
  if (HasList_)
    applyListing();
  tick();
}

void PeerNetwork::registerSelf() {
  if (IsLeaving_)
    return;
  ObjectKey const Key{InstanceCollection, Name_};
  auto const Done = [Self =
                         shared_from_this()](Result<Version> const &Written) {
    // The stop may have begun while the write was in progress.
    if (Self->IsLeaving_)
      return Self->unregisterSelf();
    if (!isError(Written))
      return;
    // A conflict means an entry of a previous incarnation that the lagging list
    // did not show.
    Self->WasRegistered_ |= errorOf(Written).Kind_ == ErrorKind::Conflict;
    Self->scheduleAfter(Self->RegisterTimer_, RetryPause,
                        &PeerNetwork::registerSelf);
  };
  if (WasRegistered_)
    return Store_.put(Key, encodeInstance(Self_), StoreTimeout, Done);
  Store_.putIf(Key, 0, encodeInstance(Self_), StoreTimeout, Done);
}

void PeerNetwork::listInstances() {
  Store_.list(InstanceCollection, ReadConsistency::MayLag, StoreTimeout,
              [Self = shared_from_this()](Result<ObjectList> const &Listed) {
                if (!isError(Listed))
                  Self->onListing(valueOf(Listed));
                if (Self->Listings_++ == 0 && Self->Transport_)
                  Self->registerSelf();
                Self->scheduleAfter(Self->StoreTimer_, Self->listPause(),
                                    &PeerNetwork::listInstances);
              });
}

Duration PeerNetwork::listPause() const {
  Duration const SteadyPause =
      std::max<Duration>(ListPeriod, PausePerInstance * View_.Registered_);
  constexpr std::uint32_t MaxDoublings = 16;
  return std::min<Duration>(SteadyPause,
                            FirstListPause *
                                (1U << std::min(Listings_ - 1, MaxDoublings)));
}

void PeerNetwork::onListing(ObjectList const &Listed) {
  Listing_ = {};
  for (auto const &Object : Listed.Objects_) {
    WasRegistered_ |= Object.Key_.Name_ == Name_;
    if (auto const Instance = decodeInstance(Object.Value_))
      Listing_.EntryInstances_.push_back({*Instance, Liveness::Live});
  }
  HasList_ = true;
  auto const Before =
      std::exchange(View_.Registered_,
                    std::max<std::size_t>(1, Listing_.EntryInstances_.size()));
  if (Transport_)
    return applyListing();
  // Others can't be reached yet, but take their part of quotas.
  if (View_.Registered_ != Before)
    Callbacks_.Changed_(View_);
}

void PeerNetwork::applyListing() {
  handle(membership::InstancesListed{Listing_});
  Callbacks_.Changed_(View_);
}

void PeerNetwork::tick() {
  handle(membership::TimePassed{});
  scheduleAfter(TickTimer_, TickPeriod, &PeerNetwork::tick);
}

void PeerNetwork::handle(membership::Event const &Event) {
  for (auto const &Action : Membership_.handle(Event, readClock()))
    std::visit([this](auto const &Kind) { on(Kind); }, Action);
}

void PeerNetwork::send(SendToPeer const &Action) {
  if (Transport_)
    Transport_->send(Action.To_, Action.Message_);
}

void PeerNetwork::on(membership::MembersChanged const &Action) {
  View_.Members_ = Action.Members_;
  if (!HasList_)
    View_.Registered_ = countInstances(View_.Members_);
  Callbacks_.Changed_(View_);
}

void PeerNetwork::whenWritten(Endpoint const &To, std::function<void()> Done) {
  if (!Transport_)
    return Done();
  Transport_->whenWritten(To, std::move(Done));
}

void PeerNetwork::sendToAll(PeerMessage const &Message) {
  if (!Transport_)
    return;
  for (auto const &Other : View_.Members_)
    if (Other.Liveness_ == Liveness::Live && Other.Instance_.Id_ != Self_.Id_)
      Transport_->send(Other.Instance_.Peers_, Message);
}

void PeerNetwork::leave() {
  IsLeaving_ = true;
  handle(membership::LocalInstanceLeaving{});
  unregisterSelf();
}

void PeerNetwork::unregisterSelf() {
  Store_.remove({InstanceCollection, Name_}, StoreTimeout,
                [](Result<Success> const &) {
                  // If the removal fails, the failure detector of the peers
                  // still finds the instance gone.
                });
}

} // namespace laburnum
