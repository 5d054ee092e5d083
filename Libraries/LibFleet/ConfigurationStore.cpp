#include <LibFleet/ConfigurationStore.h>

#include <LibCore/Hash.h>
#include <LibFleet/StoredConfiguration.h>

#include <algorithm>
#include <set>
#include <utility>

namespace laburnum {

using namespace configuration;

namespace {

/// The number of instances per data centre that read the platform.
constexpr std::size_t WatchersPerDataCentre = 2;
/// The number of children of each node in the broadcast tree.
constexpr std::size_t FanOutDegree = 8;
/// The maximum specification bytes in one message, far below the limit of a
/// frame.
constexpr std::size_t MessageBytes = std::size_t(1) << 20;
/// A single outdated answer may be a stale read; this many in a row mean that
/// the store lost acknowledged writes.
constexpr int StaleReadsBeforeAlarm = 3;

constexpr std::array<ObjectKind, 3> AllKinds = {
    ObjectKind::Service, ObjectKind::Account, ObjectKind::Server};

std::uint64_t hashOf(ConfigurationObject const &Object) {
  return stableHash(toString(Object.Name_.Kind_) + "/" + Object.Name_.Name_,
                    Object.Version_);
}

} // namespace

ConfigurationStore::ConfigurationStore(configuration::Settings Settings)
    : Settings_(std::move(Settings)), Generator_(Settings_.Seed_),
      Snapshot_(std::make_shared<Configuration const>()) {}

std::vector<Action> ConfigurationStore::handle(Event const &Event,
                                               TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  std::visit([&](auto const &Each) { on(Each); }, Event);
  readPlatform();
  return std::move(Actions_);
}

Version ConfigurationStore::version() const {
  Version Highest = 0;
  for (auto const &[Name, Object] : Objects_)
    Highest = std::max(Highest, Object.Version_);
  return Highest;
}

ConfigurationObject const *
ConfigurationStore::object(ObjectName const &Name) const {
  auto const Found = Objects_.find(Name);
  return Found == Objects_.end() ? nullptr : &Found->second;
}

// Reading the platform.

bool ConfigurationStore::isWatcher() const {
  if (livePeers().empty())
    return true;
  auto const Tree = broadcastTreeOf(Settings_.Self_.DataCentre_);
  auto const End =
      Tree.begin() +
      static_cast<std::ptrdiff_t>(std::min(Tree.size(), WatchersPerDataCentre));
  return std::any_of(Tree.begin(), End, [&](EntryInstance const &Node) {
    return Node.Id_ == Settings_.Self_.Id_;
  });
}

ConfigurationStore::Collection &
ConfigurationStore::collection(ObjectKind Kind) {
  return Collections_[static_cast<std::size_t>(Kind)];
}

void ConfigurationStore::readPlatform() {
  if (!isWatcher())
    return;
  for (auto const Kind : AllKinds) {
    auto &Read = collection(Kind);
    if (Read.IsReadPending_ || Now_ < Read.NotBefore_)
      continue;
    Read.IsReadPending_ = true;
    if (Read.From_)
      Actions_.emplace_back(WatchCollection{Kind, *Read.From_});
    else
      Actions_.emplace_back(ListCollection{Kind});
  }
}

bool ConfigurationStore::isStoreBehind(ObjectKind Kind, Version StoreVersion) {
  auto &Read = collection(Kind);
  if (StoreVersion >= std::max(Read.HighestSeen_, version())) {
    Read.HighestSeen_ = StoreVersion;
    Read.ConsecutiveStaleReads_ = 0;
    return false;
  }
  if (++Read.ConsecutiveStaleReads_ == StaleReadsBeforeAlarm)
    Actions_.emplace_back(RaiseAlarm{
        "the platform's store is at version " + std::to_string(StoreVersion) +
        ", but version " +
        std::to_string(std::max(Read.HighestSeen_, version())) +
        " was in force: it was restored from an old copy. The newer "
        "configuration stays in force; apply it to the store again"});
  return Read.ConsecutiveStaleReads_ < StaleReadsBeforeAlarm;
}

/// Continues the watch from the store's version, or lists the collection again
/// if that version is stale.
void ConfigurationStore::continueReading(ObjectKind Kind,
                                         Version StoreVersion) {
  auto &Read = collection(Kind);
  if (!isStoreBehind(Kind, StoreVersion)) {
    Read.From_ = StoreVersion;
    return;
  }
  Read.From_.reset();
  Read.NotBefore_ = Now_ + Settings_.RetryDelay_;
}

void ConfigurationStore::on(CollectionListed const &Event) {
  collection(Event.Kind_).IsReadPending_ = false;
  applyStored(Event.Kind_, Event.List_.Objects_);
  continueReading(Event.Kind_, Event.List_.StoreVersion_);
}

void ConfigurationStore::on(CollectionWatched const &Event) {
  auto &Read = collection(Event.Kind_);
  Read.IsReadPending_ = false;
  applyStored(Event.Kind_, Event.Batch_.Objects_);
  continueReading(Event.Kind_, Event.Batch_.StoreVersion_);
  if (Event.Batch_.Continuity_ == WatchContinuity::Gap)
    Read.From_.reset();
}

void ConfigurationStore::on(PlatformFailed const &Event) {
  auto &Read = collection(Event.Kind_);
  Read.IsReadPending_ = false;
  Read.NotBefore_ = Now_ + Settings_.RetryDelay_;
}

void ConfigurationStore::applyStored(ObjectKind Kind,
                                     std::vector<StoredObject> const &Objects) {
  std::vector<ConfigurationObject> Decoded;
  for (auto const &Stored : Objects) {
    auto Object = configurationObjectOf(Kind, Stored);
    if (isError(Object))
      Actions_.emplace_back(RaiseAlarm{
          "the platform's " + toString(Kind) + " \"" + Stored.Key_.Name_ +
          "\" cannot be read: " + errorOf(Object).Message_ +
          "; apply it again"});
    else
      Decoded.push_back(takeValue(std::move(Object)));
  }
  apply(Decoded, Source::Platform);
}

// Applying and forwarding.

void ConfigurationStore::on(LocalChangeAccepted const &Event) {
  apply({Event.Object_}, Source::Platform);
}

void ConfigurationStore::on(ObjectsFromPeer const &Event) {
  apply(Event.Message_.Objects_, Source::Peer);
}

void ConfigurationStore::apply(std::vector<ConfigurationObject> const &Objects,
                               Source From) {
  std::vector<ConfigurationObject> Updated;
  for (auto const &Object : Objects)
    if (applyOne(Object))
      Updated.push_back(Object);
  if (Updated.empty())
    return;
  std::vector<ConfigurationObject> All;
  for (auto const &[Name, Object] : Objects_)
    All.push_back(Object);
  Snapshot_ = Configuration::create(All);
  Actions_.emplace_back(SnapshotChanged{Snapshot_, Updated});
  forward(Updated, From);
}

bool ConfigurationStore::applyOne(ConfigurationObject const &Object) {
  auto &Held = Objects_[Object.Name_];
  if (Object.Version_ <= Held.Version_) {
    if (Held.Version_ == 0)
      Objects_.erase(Object.Name_);
    return false;
  }
  if (Held.Version_ != 0)
    Digest_ -= hashOf(Held);
  Held = Object;
  Digest_ += hashOf(Held);
  return true;
}

/// The live instances of a data centre in rendezvous order. The first two watch
/// the platform; the order, read as a heap with FanOutDegree children per node,
/// is the broadcast tree.
std::vector<EntryInstance>
ConfigurationStore::broadcastTreeOf(DataCentre const &Where) const {
  std::vector<EntryInstance> Live;
  bool IsSelfKnown = false;
  for (auto const &Node : Members_) {
    IsSelfKnown |= Node.Instance_.Id_ == Settings_.Self_.Id_;
    if (Node.Liveness_ == Liveness::Live && Node.Instance_.DataCentre_ == Where)
      Live.push_back(Node.Instance_);
  }
  if (!IsSelfKnown && Settings_.Self_.DataCentre_ == Where)
    Live.push_back(Settings_.Self_);
  return rendezvousOrder("configuration/" + Where.text(), std::move(Live),
                         [](EntryInstance const &Node) -> std::string const & {
                           return Node.Id_.text();
                         });
}

std::vector<EntryInstance> ConfigurationStore::livePeers() const {
  std::vector<EntryInstance> Peers;
  for (auto const &Node : Members_)
    if (Node.Liveness_ == Liveness::Live &&
        Node.Instance_.Id_ != Settings_.Self_.Id_)
      Peers.push_back(Node.Instance_);
  return Peers;
}

/// The children in the broadcast tree. Updates from the platform, and any at
/// one of the roots, also go to the roots; updates from the platform also go to
/// one root of each other data centre.
std::vector<EntryInstance> ConfigurationStore::forwardTargets(Source From) {
  auto const &Self = Settings_.Self_;
  auto const Tree = broadcastTreeOf(Self.DataCentre_);
  auto const Found =
      std::find_if(Tree.begin(), Tree.end(), [&](EntryInstance const &Node) {
        return Node.Id_ == Self.Id_;
      });
  auto const Position = static_cast<std::size_t>(Found - Tree.begin());
  std::set<EntryInstance> Targets;
  auto const First = Position * FanOutDegree + 1;
  for (auto Child = First; Child < First + FanOutDegree; ++Child)
    if (Child < Tree.size())
      Targets.insert(Tree[Child]);
  if (From == Source::Platform || Position < WatchersPerDataCentre)
    for (std::size_t Root = 0; Root < WatchersPerDataCentre; ++Root)
      if (Root < Tree.size())
        Targets.insert(Tree[Root]);
  if (From == Source::Platform) {
    std::set<DataCentre> Others;
    for (auto const &Peer : livePeers())
      if (Peer.DataCentre_ != Self.DataCentre_)
        Others.insert(Peer.DataCentre_);
    for (auto const &Other : Others) {
      auto Roots = broadcastTreeOf(Other);
      Roots.resize(std::min(Roots.size(), WatchersPerDataCentre));
      Targets.insert(randomOf(Roots));
    }
  }
  Targets.erase(Self);
  return {Targets.begin(), Targets.end()};
}

void ConfigurationStore::forward(
    std::vector<ConfigurationObject> const &Updated, Source From) {
  for (auto const &Target : forwardTargets(From))
    sendObjects(Target.Peers_, Updated);
}

void ConfigurationStore::sendObjects(
    Endpoint const &To, std::vector<ConfigurationObject> const &Objects) {
  ConfigurationObjects Part;
  std::size_t Bytes = 0;
  for (auto const &Object : Objects) {
    if (Bytes + Object.Specification_.size() > MessageBytes) {
      Actions_.emplace_back(SendToPeer{To, std::exchange(Part, {})});
      Bytes = 0;
    }
    Bytes += Object.Specification_.size();
    Part.Objects_.push_back(Object);
  }
  if (!Part.Objects_.empty())
    Actions_.emplace_back(SendToPeer{To, std::move(Part)});
}

EntryInstance const &
ConfigurationStore::randomOf(std::vector<EntryInstance> const &Choices) {
  return Choices[Generator_() % Choices.size()];
}

// Anti-entropy by digests.

void ConfigurationStore::on(TimePassed const & /*Event*/) {
  if (NextDigest_ && Now_ < *NextDigest_)
    return;
  NextDigest_ = Now_ + Settings_.DigestPeriod_;
  sendDigest();
}

void ConfigurationStore::sendDigest() {
  auto const Peers = livePeers();
  if (Peers.empty())
    return;
  Actions_.emplace_back(SendToPeer{
      randomOf(Peers).Peers_,
      ConfigurationDigest{version(), Digest_, Settings_.Self_.Peers_}});
}

void ConfigurationStore::on(DigestFromPeer const &Event) {
  if (Event.Message_.Digest_ != Digest_)
    sendRequest(Event.Message_.ReplyTo_);
}

void ConfigurationStore::sendRequest(Endpoint const &To) {
  ConfigurationRequest Request;
  Request.ReplyTo_ = Settings_.Self_.Peers_;
  for (auto const &[Name, Object] : Objects_)
    Request.Held_.push_back({Name, Object.Version_});
  Actions_.emplace_back(SendToPeer{To, std::move(Request)});
}

void ConfigurationStore::on(RequestFromPeer const &Event) {
  std::map<ObjectName, Version> Held;
  bool IsPeerNewer = false;
  for (auto const &Each : Event.Message_.Held_) {
    Held[Each.Name_] = Each.Version_;
    auto const *Local = object(Each.Name_);
    IsPeerNewer |= Each.Version_ > (Local ? Local->Version_ : 0);
  }
  std::vector<ConfigurationObject> Newer;
  for (auto const &[Name, Object] : Objects_)
    if (Object.Version_ > Held[Name])
      Newer.push_back(Object);
  sendObjects(Event.Message_.ReplyTo_, Newer);
  if (IsPeerNewer)
    sendRequest(Event.Message_.ReplyTo_);
}

void ConfigurationStore::on(configuration::MembersChanged const &Event) {
  Members_ = Event.Members_;
  auto const Peers = livePeers();
  // An instance without configuration requests one immediately.
  if (Objects_.empty() && !Peers.empty())
    sendRequest(randomOf(Peers).Peers_);
}

} // namespace laburnum
