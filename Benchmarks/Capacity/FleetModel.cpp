#include "FleetModel.h"

#include <LibModel/JsonCodec.h>
#include <LibPeer/PeerCodec.h>

#include <algorithm>

namespace laburnum::bench {

static constexpr std::uint32_t Services = 6;
static constexpr std::uint32_t Accounts = 10;
static constexpr std::uint32_t Regions = 2;
static constexpr std::size_t MaxSeeds = 3;
static constexpr Duration WithinDataCentre = std::chrono::microseconds(300);
static constexpr Duration WithinRegion = std::chrono::milliseconds(1);
static constexpr Duration BetweenRegions = std::chrono::milliseconds(8);

static EntryInstance instanceOf(std::uint32_t Index, DataCentre const &Where) {
  constexpr std::uint32_t HostsPerNet = 250;
  auto const Host = "10.20." + std::to_string(Index / HostsPerNet) + "." +
                    std::to_string(Index % HostsPerNet + 1);
  return {InstanceId("i-0a1b2c3d4e5f" + std::to_string(10000 + Index)),
          Where,
          {Host, 8080},
          {Host, 8082},
          {Host, 8081}};
}

static std::size_t helloBytes() {
  auto const Secret = std::string(32, 's');
  auto const Frame =
      encodePeerFrame(Hello{Secret, instanceOf(0, DataCentre("kumamoto-a"))});
  return isError(Frame) ? 0 : valueOf(Frame).size();
}

FleetModel::FleetModel(FleetShape Shape, std::uint64_t Seed)
    : Shape_(Shape), Generator_(Seed), Wire_(helloBytes()),
      Platform_(Time_, Cpu_) {
  addObjects();
  addInstances(Shape.Members_);
}

DataCentre FleetModel::dataCentre(std::uint32_t Number) const {
  return DataCentre("centre-" + std::to_string(Number % Shape_.DataCentres_));
}

void FleetModel::addObjects() {
  for (std::uint32_t Number = 0; Number < Services; ++Number)
    changeService(Number);
  for (std::uint32_t Number = 0; Number < Accounts; ++Number) {
    ClientAccount Account;
    Account.Name_ = AccountName("account-" + std::to_string(Number));
    Account.KeyDigest_ = keyDigest(Account.Name_.text());
    Platform_.change({ObjectKind::Account, Account.Name_.text()},
                     encodeJson(Account));
  }
  for (std::uint32_t Number = 0; Number < Shape_.Servers_; ++Number) {
    BackendServer Server;
    Server.Id_ = ServerId("runner-" + std::to_string(Number));
    Server.Service_ =
        ServiceName("service-" + std::to_string(Number % Services));
    Server.DataCentre_ = dataCentre(Number);
    Server.Endpoint_ = {"10.30.0." + std::to_string(Number % 250), 9000};
    Platform_.change({ObjectKind::Server, Server.Id_.text()},
                     encodeJson(Server));
    Platform_.addServer(Server.Id_);
  }
}

std::vector<Endpoint> FleetModel::seeds() const {
  std::vector<Endpoint> Found;
  for (auto const &Node : Nodes_)
    if (Node->isUp() && Found.size() < MaxSeeds)
      Found.push_back(Node->instance().Peers_);
  return Found;
}

void FleetModel::addInstances(std::uint32_t Count) {
  for (std::uint32_t Added = 0; Added < Count; ++Added) {
    auto const Index = static_cast<std::uint32_t>(Nodes_.size());
    auto const Self = instanceOf(Index, dataCentre(Index));
    ByHost_[Self.Peers_.Host_] = Index;
    Platform_.addInstance(Self);
    Nodes_.push_back(std::make_shared<ModelNode>(
        NodeResources{Time_, Cpu_, Platform_, *this}, Index, Self, seeds()));
    Nodes_.back()->start();
  }
}

void FleetModel::crashShare(double Share) {
  std::bernoulli_distribution Crashes(Share);
  for (auto const &Node : Nodes_) {
    if (!Node->isUp() || !Crashes(Generator_))
      continue;
    Node->stop();
    Platform_.removeInstance(Node->instance().Id_);
  }
}

std::uint32_t FleetModel::live() const {
  return static_cast<std::uint32_t>(
      std::count_if(Nodes_.begin(), Nodes_.end(),
                    [](auto const &Node) { return Node->isUp(); }));
}

void FleetModel::partition(DataCentre const &Where) {
  PartitionedCentres_.insert(Where);
  Platform_.partition(Where);
}

void FleetModel::heal() {
  PartitionedCentres_.clear();
  Platform_.heal();
}

bool FleetModel::arePartitioned(DataCentre const &Left,
                                DataCentre const &Right) const {
  return Left != Right && (PartitionedCentres_.contains(Left) ||
                           PartitionedCentres_.contains(Right));
}

Duration FleetModel::delay(DataCentre const &Left,
                           DataCentre const &Right) const {
  if (Left == Right)
    return WithinDataCentre;
  auto const Region = [](DataCentre const &One) {
    return (One.text().back() - '0') % Regions;
  };
  return Region(Left) == Region(Right) ? WithinRegion : BetweenRegions;
}

void FleetModel::send(std::uint32_t From, SendToPeer const &Sent) {
  auto const Frame =
      Cpu_.measure(Work::Codec, [&] { return encodePeerFrame(Sent.Message_); });
  auto const Found = ByHost_.find(Sent.To_.Host_);
  if (isError(Frame) || Found == ByHost_.end())
    return;
  auto const To = Found->second;
  auto const &FromCentre = Nodes_[From]->instance().DataCentre_;
  auto const &ToCentre = Nodes_[To]->instance().DataCentre_;
  if (arePartitioned(FromCentre, ToCentre))
    return;
  Wire_.send(From, To, valueOf(Frame).size(), Time_.now());
  if (std::bernoulli_distribution(Loss_)(Generator_))
    return;
  Time_.after(
      delay(FromCentre, ToCentre),
      [this, From, To, Bytes = valueOf(Frame)] { deliver(From, To, Bytes); });
}

void FleetModel::deliver(std::uint32_t From, std::uint32_t To,
                         std::string const &Frame) {
  auto const &Receiver = Nodes_[To];
  if (!Receiver->isUp())
    return;
  auto const Message = Cpu_.measure(Work::Codec, [&] {
    return decodePeerBody(std::string_view(Frame).substr(PeerHeaderSize));
  });
  if (!isError(Message))
    Receiver->receive(Nodes_[From]->instance().Id_, valueOf(Message));
}

ConfigurationObject FleetModel::changeService(std::uint32_t Number) {
  Service Changed;
  Changed.Name_ = ServiceName("service-" + std::to_string(Number % Services));
  Changed.Kind_ = ServiceKind::Model;
  Changed.Priority_ = static_cast<std::int32_t>(Number);
  auto const Object = Platform_.change(
      {ObjectKind::Service, Changed.Name_.text()}, encodeJson(Changed));
  for (auto const &Node : Nodes_) {
    if (!Node->isUp() ||
        PartitionedCentres_.contains(Node->instance().DataCentre_))
      continue;
    Node->feed(
        configuration::Event(configuration::LocalChangeAccepted{Object}));
    break;
  }
  return Object;
}

bool FleetModel::isInForce(ConfigurationObject const &Object,
                           std::set<DataCentre> const &Except) const {
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&](auto const &Node) {
    if (!Node->isUp() || Except.contains(Node->instance().DataCentre_))
      return true;
    auto const *Applied = Node->configuration().object(Object.Name_);
    return Applied && Applied->Version_ >= Object.Version_;
  });
}

bool FleetModel::isConverged() const {
  auto const Expected = Platform_.objects().size();
  auto const Live = live();
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&](auto const &Node) {
    if (!Node->isUp())
      return true;
    auto const Members = Node->membership().members();
    auto const Known =
        std::count_if(Members.begin(), Members.end(), [](Member const &One) {
          return One.Liveness_ == Liveness::Live;
        });
    return Node->configuration().objects().size() == Expected &&
           Node->configuration().version() == Platform_.version() &&
           static_cast<std::uint32_t>(Known) == Live;
  });
}

void FleetModel::resetCounters() {
  Wire_.reset();
  Cpu_.reset();
  Platform_.reset();
}

} // namespace laburnum::bench
