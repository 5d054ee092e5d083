#include "ControlPlane.h"

#include <LibLog/LogValue.h>

#include <asio/post.hpp>
#include <glog/logging.h>

namespace laburnum {

namespace {

constexpr Duration CoreTick = std::chrono::milliseconds(100);
constexpr Duration InstanceListPeriod = std::chrono::seconds(2);
constexpr Duration NoticeRetryDelay = std::chrono::seconds(1);
/// Duration of one long poll of the platform; stop() waits at most this long
/// for it.
constexpr Duration LongPollTimeout = std::chrono::seconds(2);
/// One thread each for the three collections, the notices and the instance
/// list, and one spare.
constexpr std::size_t ReadThreads = 6;

} // namespace

ControlPlane::ControlPlane(ControlThread &Control,
                           PlatformInterfaces const &Platform,
                           TrafficView &View,
                           std::function<void()> OnViewChanged)
    : Control_(Control), Platform_(Platform), View_(View),
      OnViewChanged_(std::move(OnViewChanged)), PlatformReads_(ReadThreads) {}

ControlPlane::~ControlPlane() { stop(); }

Result<Success> ControlPlane::start(ControlPlaneSettings const &Settings) {
  PeerTransportSettings Transport;
  Transport.Secret_ = Settings.PeerSecret_;
  Transport.Self_ = Settings.Self_;
  auto Created = AsioPeerTransport::create(
      Control_.context(), Transport,
      [this](InstanceId const &From, PeerMessage const &Message) {
        receive(From, Message);
      });
  if (isError(Created))
    return errorOf(Created);
  Transport_ = takeValue(std::move(Created));
  auto Self = Settings.Self_;
  Self.Peers_ = Transport_->localEndpoint();
  Self_ = Self.Id_;
  Hooks_ = Settings.Hooks_;
  PlatformTimeout_ = Settings.PlatformTimeout_;

  configuration::Settings ConfigurationSettings;
  ConfigurationSettings.Self_ = Self;
  ConfigurationSettings.Seed_ = Settings.Seed_;
  Configuration_ = std::make_unique<ConfigurationStore>(ConfigurationSettings);
  membership::Settings MembershipSettings;
  MembershipSettings.Self_ = Self;
  MembershipSettings.Seeds_ = Settings.Seeds_;
  MembershipSettings.Seed_ = Settings.Seed_;
  Membership_ = std::make_unique<Membership>(MembershipSettings);
  servers::Settings DirectorySettings;
  DirectorySettings.Self_ = Self;
  DirectorySettings.Seed_ = Settings.Seed_;
  Directory_ = std::make_unique<ServerDirectory>(DirectorySettings);
  ListingPace_ = std::make_unique<ListingPace>(Settings.Seed_);

  Control_.schedulePeriodically(CoreTick, [this] {
    feed(membership::Event(membership::TimePassed{}));
    feed(configuration::Event(configuration::TimePassed{}));
    feed(servers::Event(servers::TimePassed{}));
  });
  Control_.schedulePeriodically(InstanceListPeriod,
                                [this] { readInstanceList(); });
  Control_.post([this] {
    Hooks_.OnMembers_(Membership_->members());
    readInstanceList();
    readNotices();
  });
  return Success{};
}

void ControlPlane::stop() {
  Stopping_ = true;
  PlatformReads_.join();
}

void ControlPlane::applyLocalChange(ConfigurationObject const &Object) {
  Control_.post([this, Object] {
    feed(configuration::Event(configuration::LocalChangeAccepted{Object}));
  });
}

void ControlPlane::sendToPeer(Endpoint const &To, PeerMessage const &Message) {
  Control_.post([this, To, Message] { Transport_->send(To, Message); });
}

void ControlPlane::reportRefusal(ServerId const &Server) {
  Control_.post(
      [this, Server] { feed(servers::Event(servers::ServerRefused{Server})); });
}

void ControlPlane::announceLeaving() {
  Leaving_ = true;
  Control_.post(
      [this] { feed(membership::Event(membership::LocalInstanceLeaving{})); });
}

void ControlPlane::drainServer(ServerId const &Server, Duration Within) {
  Control_.post([this, Server, Within] {
    feed(servers::Event(
        servers::NoticeReceived{{Server.text(), DataCentre(), Within}}));
  });
}

std::vector<Member> ControlPlane::members() {
  return Control_.runAndWait([this] { return Membership_->members(); });
}

std::vector<ConfigurationObject> ControlPlane::objects(ObjectKind Kind) {
  return Control_.runAndWait([this, Kind] {
    std::vector<ConfigurationObject> Found;
    for (auto const &[Name, Object] : Configuration_->objects()) {
      if (Name.Kind_ == Kind && !Object.IsDeleted_)
        Found.push_back(Object);
    }
    return Found;
  });
}

std::optional<ConfigurationObject>
ControlPlane::object(ObjectName const &Name) {
  return Control_.runAndWait(
      [this, Name]() -> std::optional<ConfigurationObject> {
        auto const *Stored = Configuration_->object(Name);
        return Stored ? std::optional(*Stored) : std::nullopt;
      });
}

std::vector<ObjectName> ControlPlane::objectNames() {
  return Control_.runAndWait([this] {
    std::vector<ObjectName> Names;
    for (auto const &[Name, Object] : Configuration_->objects())
      Names.push_back(Name);
    return Names;
  });
}

Version ControlPlane::configurationVersion() {
  return Control_.runAndWait([this] { return Configuration_->version(); });
}

void ControlPlane::receive(InstanceId const &From, PeerMessage const &Message) {
  if (auto const *HeartbeatMessage = std::get_if<Heartbeat>(&Message))
    feed(membership::Event(
        membership::HeartbeatFromPeer{From, *HeartbeatMessage}));
  else if (auto const *Digest = std::get_if<ConfigurationDigest>(&Message))
    feed(configuration::Event(configuration::DigestFromPeer{*Digest}));
  else if (auto const *Objects = std::get_if<ConfigurationObjects>(&Message))
    feed(configuration::Event(configuration::ObjectsFromPeer{*Objects}));
  else if (auto const *Request = std::get_if<ConfigurationRequest>(&Message))
    feed(configuration::Event(configuration::RequestFromPeer{*Request}));
  else if (auto const *Notice = std::get_if<ServerLeavingNotice>(&Message))
    feed(servers::Event(servers::NoticeFromPeer{*Notice}));
  else
    Hooks_.OnPeerMessage_(From, Message);
}

void ControlPlane::feed(configuration::Event const &Event) {
  for (auto const &Action : Configuration_->handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

void ControlPlane::feed(membership::Event const &Event) {
  for (auto const &Action : Membership_->handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

void ControlPlane::feed(servers::Event const &Event) {
  for (auto const &Action : Directory_->handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

void ControlPlane::perform(SendToPeer const &Action) {
  Transport_->send(Action.To_, Action.Message_);
}

template <typename Call, typename Next>
void ControlPlane::callPlatform(Call Blocking, Next Then) {
  if (Stopping_)
    return;
  asio::post(PlatformReads_, [this, Blocking, Then] {
    auto Outcome = Blocking();
    bool const IsReachable = !isError(Outcome);
    if (PlatformReachable_.exchange(IsReachable) != IsReachable)
      LOG(INFO) << "instance=" << Self_.text()
                << " platform=" << (IsReachable ? "reachable" : "unreachable");
    Control_.post([Then, Outcome = std::move(Outcome)] { Then(Outcome); });
  });
}

void ControlPlane::perform(configuration::ListCollection const &Action) {
  callPlatform(
      [this, Action] {
        return Platform_.Objects_.list(toString(Action.Kind_),
                                       PlatformTimeout_);
      },
      [this, Action](Result<ObjectList> const &List) {
        if (isError(List))
          feed(configuration::Event(
              configuration::PlatformFailed{Action.Kind_}));
        else
          feed(configuration::Event(
              configuration::CollectionListed{Action.Kind_, valueOf(List)}));
      });
}

void ControlPlane::perform(configuration::WatchCollection const &Action) {
  if (Leaving_)
    return;
  callPlatform(
      [this, Action] {
        return Platform_.Objects_.watch(toString(Action.Kind_), Action.From_,
                                        LongPollTimeout);
      },
      [this, Action](Result<WatchBatch> const &Batch) {
        if (isError(Batch))
          feed(configuration::Event(
              configuration::PlatformFailed{Action.Kind_}));
        else
          feed(configuration::Event(
              configuration::CollectionWatched{Action.Kind_, valueOf(Batch)}));
      });
}

void ControlPlane::perform(configuration::SnapshotChanged const &Action) {
  View_.setConfiguration(Action.Snapshot_);
  feed(servers::Event(servers::ObjectsApplied{Action.Changed_}));
  feed(membership::Event(membership::LocalConfigurationChanged{
      Configuration_->version(), Configuration_->digest()}));
  OnViewChanged_();
  LOG(INFO) << "instance=" << Self_.text()
            << " configuration_version=" << Configuration_->version();
}

void ControlPlane::perform(configuration::RaiseAlarm const &Action) {
  LOG(ERROR) << "instance=" << Self_.text()
             << " alarm=" << logValue(Action.Message_);
}

void ControlPlane::perform(membership::MembersChanged const &Action) {
  feed(configuration::Event(configuration::MembersChanged{Action.Members_}));
  feed(servers::Event(servers::MembersChanged{Action.Members_}));
  Hooks_.OnMembers_(Action.Members_);
}

void ControlPlane::perform(servers::DirectoryChanged const &Action) {
  View_.setDepartures(Action.Departures_);
  OnViewChanged_();
  for (auto const &Server : Action.ChangedServers_)
    LOG(INFO) << "instance=" << Self_.text()
              << " server_departure=" << logValue(Server.text());
}

void ControlPlane::readInstanceList() {
  if (!ListingPace_->isDue(readClock()))
    return;
  callPlatform(
      [this] { return Platform_.Instances_.fetch(PlatformTimeout_); },
      [this](Result<InstanceListing> const &Listing) {
        if (isError(Listing))
          return;
        ListingPace_->listed(valueOf(Listing), readClock());
        feed(membership::Event(membership::InstancesListed{valueOf(Listing)}));
        feed(servers::Event(servers::InstancesListed{valueOf(Listing)}));
      });
}

void ControlPlane::readNotices() {
  if (Leaving_)
    return;
  callPlatform(
      [this, From = NextNotice_] {
        auto Batch = Platform_.Cloud_.notices(From, LongPollTimeout);
        if (isError(Batch))
          std::this_thread::sleep_for(NoticeRetryDelay);
        return Batch;
      },
      [this](Result<NoticeBatch> const &Batch) {
        if (!isError(Batch)) {
          NextNotice_ = valueOf(Batch).Next_;
          for (auto const &Notice : valueOf(Batch).Notices_) {
            feed(servers::Event(servers::NoticeReceived{Notice}));
            if (Notice.InstanceName_ == Self_.text())
              Hooks_.OnLocalReclaim_(Notice.Remaining_);
          }
        }
        readNotices();
      });
}

} // namespace laburnum
