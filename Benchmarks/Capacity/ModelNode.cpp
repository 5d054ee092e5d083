#include "ModelNode.h"

namespace laburnum::bench {

// The daemon's periods, from Services/laburnumd/ControlPlane.cpp.
static constexpr Duration CoreTick = std::chrono::milliseconds(100);
static constexpr Duration InstanceListPeriod = std::chrono::seconds(2);
static constexpr Duration LongPoll = std::chrono::seconds(2);
static constexpr Duration NoticeRetryPause = std::chrono::seconds(1);

ModelNode::ModelNode(NodeResources Resources, std::uint32_t Index,
                     EntryInstance Self, std::vector<Endpoint> Seeds)
    : Resources_(Resources), Index_(Index), Self_(std::move(Self)),
      ListingPace_(Index) {
  auto const Seed = std::uint64_t{Index} + 1;
  configuration::Settings ForConfiguration;
  ForConfiguration.Self_ = Self_;
  ForConfiguration.Seed_ = Seed;
  Configuration_ = std::make_unique<ConfigurationStore>(ForConfiguration);
  membership::Settings ForMembership;
  ForMembership.Self_ = Self_;
  ForMembership.Seeds_ = std::move(Seeds);
  ForMembership.Seed_ = Seed;
  Membership_ = std::make_unique<Membership>(ForMembership);
  servers::Settings ForServers;
  ForServers.Self_ = Self_;
  ForServers.Seed_ = Seed;
  Directory_ = std::make_unique<ServerDirectory>(ForServers);
}

/// Nodes start at different offsets within their first period.
void ModelNode::start() {
  constexpr std::uint32_t Spread = 97;
  constexpr std::uint32_t Step = 37;
  std::chrono::milliseconds const Offset(Index_ * Step % Spread);
  after(Offset, [this] { tick(); });
  after(Offset, [this] {
    readInstances();
    readNotices();
  });
}

void ModelNode::releaseCores() {
  Configuration_.reset();
  Membership_.reset();
  Directory_.reset();
}

void ModelNode::after(Duration Pause, std::function<void()> Task) {
  Resources_.Time_.after(Pause,
                         [Self = shared_from_this(), Task = std::move(Task)] {
                           if (Self->IsUp_)
                             Task();
                         });
}

template <typename Call> auto ModelNode::whileUp(Call Handler) {
  return [Self = shared_from_this(), Handler](auto const &Answer) {
    if (Self->IsUp_)
      Handler(Answer);
  };
}

void ModelNode::tick() {
  feed(membership::Event(membership::TimePassed{}));
  feed(configuration::Event(configuration::TimePassed{}));
  feed(servers::Event(servers::TimePassed{}));
  after(CoreTick, [this] { tick(); });
}

void ModelNode::readInstances() {
  after(InstanceListPeriod, [this] { readInstances(); });
  if (!ListingPace_.isDue(Resources_.Time_.now()))
    return;
  Resources_.Platform_.fetchInstances(
      Self_.DataCentre_,
      whileUp([this](Result<ModelPlatform::Listing> const &Answer) {
        if (isError(Answer))
          return;
        ListingPace_.listed(*valueOf(Answer), Resources_.Time_.now());
        feed(membership::Event(membership::InstancesListed{*valueOf(Answer)}));
        feed(servers::Event(servers::InstancesListed{*valueOf(Answer)}));
      }));
}

void ModelNode::readNotices() {
  Resources_.Platform_.notices(
      Self_.DataCentre_, LongPoll,
      whileUp([this](Result<NoticeBatch> const &Answer) {
        after(isError(Answer) ? NoticeRetryPause : Duration::zero(),
              [this] { readNotices(); });
      }));
}

void ModelNode::receive(InstanceId const &From, PeerMessage const &Message) {
  if (auto const *Received = std::get_if<Heartbeat>(&Message))
    feed(membership::Event(membership::HeartbeatFromPeer{From, *Received}));
  else if (auto const *Digest = std::get_if<ConfigurationDigest>(&Message))
    feed(configuration::Event(configuration::DigestFromPeer{*Digest}));
  else if (auto const *Objects = std::get_if<ConfigurationObjects>(&Message))
    feed(configuration::Event(configuration::ObjectsFromPeer{*Objects}));
  else if (auto const *Request = std::get_if<ConfigurationRequest>(&Message))
    feed(configuration::Event(configuration::RequestFromPeer{*Request}));
  else if (auto const *Notice = std::get_if<ServerLeavingNotice>(&Message))
    feed(servers::Event(servers::NoticeFromPeer{*Notice}));
}

void ModelNode::feed(configuration::Event const &Event) {
  auto const Actions = Resources_.Cpu_.measure(Work::Configuration, [&] {
    return Configuration_->handle(Event, Resources_.Time_.now());
  });
  for (auto const &Action : Actions)
    std::visit([this](auto const &One) { perform(One); }, Action);
}

void ModelNode::feed(membership::Event const &Event) {
  auto const Actions = Resources_.Cpu_.measure(Work::Membership, [&] {
    return Membership_->handle(Event, Resources_.Time_.now());
  });
  for (auto const &Action : Actions)
    std::visit([this](auto const &One) { perform(One); }, Action);
}

void ModelNode::feed(servers::Event const &Event) {
  auto const Actions = Resources_.Cpu_.measure(Work::Servers, [&] {
    return Directory_->handle(Event, Resources_.Time_.now());
  });
  for (auto const &Action : Actions)
    std::visit([this](auto const &One) { perform(One); }, Action);
}

void ModelNode::perform(SendToPeer const &Action) {
  Resources_.Network_.send(Index_, Action);
}

void ModelNode::perform(configuration::ListCollection const &Action) {
  Resources_.Platform_.list(
      Self_.DataCentre_, Action.Kind_,
      whileUp([this, Kind = Action.Kind_](Result<ObjectList> const &List) {
        if (isError(List))
          feed(configuration::Event(configuration::PlatformFailed{Kind}));
        else
          feed(configuration::Event(
              configuration::CollectionListed{Kind, valueOf(List)}));
      }));
}

void ModelNode::perform(configuration::WatchCollection const &Action) {
  Resources_.Platform_.watch(
      Self_.DataCentre_, Action.Kind_, Action.From_, LongPoll,
      whileUp([this, Kind = Action.Kind_](Result<WatchBatch> const &Batch) {
        if (isError(Batch))
          feed(configuration::Event(configuration::PlatformFailed{Kind}));
        else
          feed(configuration::Event(
              configuration::CollectionWatched{Kind, valueOf(Batch)}));
      }));
}

void ModelNode::perform(configuration::SnapshotChanged const &Action) {
  feed(servers::Event(servers::ObjectsApplied{Action.Changed_}));
  feed(membership::Event(membership::LocalConfigurationChanged{
      Configuration_->version(), Configuration_->digest()}));
}

void ModelNode::perform(configuration::RaiseAlarm const & /*Action*/) {}

void ModelNode::perform(membership::MembersChanged const &Action) {
  feed(configuration::Event(configuration::MembersChanged{Action.Members_}));
  feed(servers::Event(servers::MembersChanged{Action.Members_}));
}

void ModelNode::perform(servers::DirectoryChanged const & /*Action*/) {}

} // namespace laburnum::bench
