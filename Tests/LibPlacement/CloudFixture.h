#pragma once

#include <LibPlacement/FleetController.h>

#include <LibModel/JsonCodec.h>

#include <map>
#include <set>

namespace laburnum::test {

/// An in-memory cloud. An order starts one server however often it is sent.
struct FakeCloud {
  struct Server {
    PlacementSlot Slot_;
    bool IsRunning_ = true;
  };

  void reclaimSite(DataCentre const &Site) {
    for (auto &[Id, Entry] : Servers_)
      if (Entry.Slot_.DataCentre_ == Site)
        Entry.IsRunning_ = false;
  }

  void refuseAllStarts() {
    for (auto const *Site : {"a", "b"})
      for (auto const Capacity :
           {CapacityType::Reclaimable, CapacityType::OnDemand})
        Refused_.insert({DataCentre(Site), Capacity});
  }

  controller::Event start(StartOrder const &Order) {
    PlacementSlot const Slot{Order.DataCentre_, Order.CapacityType_};
    if (IsDown_)
      return controller::StartFailed{Order.OrderId_};
    auto const IsKnown = Started_.contains(Order.OrderId_);
    if (!IsKnown && Refused_.contains(Slot)) {
      ++Refusals_;
      return controller::StartRefused{Order.OrderId_};
    }
    if (!IsKnown) {
      Started_[Order.OrderId_] = ServerId("vm-" + Order.OrderId_);
      Servers_[Started_[Order.OrderId_]] = {Slot, true};
    }
    if (LosesAnswers_)
      return controller::StartFailed{Order.OrderId_};
    return controller::ServerStarted{Order.OrderId_, Started_[Order.OrderId_]};
  }

  bool IsDown_ = false;
  bool LosesAnswers_ = false;
  std::set<PlacementSlot> Refused_;
  std::size_t Refusals_ = 0;
  std::map<std::string, ServerId> Started_; ///< By order.
  std::map<ServerId, Server> Servers_;
};

/// An in-memory store of the order record.
struct FakeRecordStore {
  controller::Event answer(controller::ReadRecord const & /*Call*/) const {
    if (IsDown_)
      return controller::RecordFailed{};
    return controller::RecordRead{Object_};
  }

  controller::Event answer(controller::WriteRecord const &Call) {
    if (IsDown_ || IsReadOnly_ || Call.Expected_ != Object_.Version_)
      return controller::RecordFailed{};
    Object_ = {orderRecordKey(), Object_.Version_ + 1, Call.Value_};
    if (LostAnswers_ > 0 && LostAnswers_--)
      return controller::RecordFailed{};
    return controller::RecordWritten{Object_.Version_};
  }

  bool IsDown_ = false;
  bool IsReadOnly_ = false;
  int LostAnswers_ = 0;
  StoredObject Object_ = {orderRecordKey(), 0, ""};
};

/// A controller for one service with three desired servers in the data centres
/// a and b. Calls are answered at the next step.
class CloudFixture {
public:
  static constexpr Duration Step = std::chrono::milliseconds(500);
  static constexpr Duration LeaseLength = std::chrono::seconds(10);

  CloudFixture() { setDesiredServers(3); }

  void setDesiredServers(std::uint32_t Servers) {
    DesiredCount_ = Servers;
    configure();
  }

  void introduce(std::string const &Id) {
    BackendServer Server;
    Server.Id_ = ServerId(Id);
    Server.Service_ = ServiceName("chat");
    Server.DataCentre_ = DataCentre("a");
    Server.Endpoint_ = {"127.0.0.1", 1};
    Server.Fencing_ = FencingCheck::Honoured;
    Introduced_[Server.Id_] = Server;
    configure();
  }

  /// Introduces every started server as its operators would.
  void introduceStarted() {
    for (auto const &[Id, Entry] : Cloud_.Servers_) {
      introduce(Id.text());
      auto &Server = Introduced_[Id];
      Server.DataCentre_ = Entry.Slot_.DataCentre_;
      Server.IsReclaimable_ =
          Entry.Slot_.CapacityType_ == CapacityType::Reclaimable;
      Server.PricePerHour_ = Server.IsReclaimable_ ? 1.0 : 3.0;
    }
    configure();
  }

  void acquireLease(std::uint64_t Fencing) {
    Lease_ = HeldLease{Fencing, Now_, Now_ + LeaseLength};
    feed(controller::LeaseUpdated{Lease_});
  }

  void loseLease() {
    Lease_.reset();
    feed(controller::LeaseUpdated{});
  }

  /// Replaces the controller by a new one, as when another instance takes over
  /// or this one restarts.
  void restart() {
    Controller_ = FleetController(controller::Settings());
    Pending_.clear();
    configure();
    notifyDepartures();
  }

  void notifyDepartures() {
    auto Departed = std::make_shared<servers::Departures>();
    for (auto const &[Id, Entry] : Cloud_.Servers_)
      if (!Entry.IsRunning_)
        (*Departed)[Id] = {Liveness::Leaving, {}, 0};
    feed(controller::DeparturesUpdated{Departed});
  }

  void feed(controller::Event const &Event) {
    for (auto const &Action : Controller_.handle(Event, Now_))
      Pending_.push_back(Action);
  }

  void advance(Duration Length) {
    for (auto const End = Now_ + Length; Now_ < End;) {
      Now_ += Step;
      if (Lease_ && IsRenewing_) {
        Lease_->ValidUntil_ = Now_ + LeaseLength;
        feed(controller::LeaseUpdated{Lease_});
      }
      for (auto const &Action : std::exchange(Pending_, {}))
        std::visit([&](auto const &Call) { perform(Call); }, Action);
      feed(controller::TimePassed{});
    }
  }

  std::size_t running() const { return runningWithout(""); }

  std::size_t running(CapacityType Capacity) const {
    std::size_t Count = 0;
    for (auto const &[Id, Entry] : Cloud_.Servers_)
      Count += Entry.IsRunning_ && Entry.Slot_.CapacityType_ == Capacity;
    return Count;
  }

  std::size_t runningWithout(std::string const &Site) const {
    std::size_t Count = 0;
    for (auto const &[Id, Entry] : Cloud_.Servers_)
      Count += Entry.IsRunning_ && Entry.Slot_.DataCentre_ != DataCentre(Site);
    return Count;
  }

  OrderRecord recorded() const {
    return valueOf(decodeOrders(Store_.Object_.Value_));
  }

  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  FleetController Controller_{controller::Settings()};
  FakeCloud Cloud_;
  FakeRecordStore Store_;
  std::size_t Calls_ = 0; ///< To the platform and the engines.
  std::set<ServerId> Drained_;
  std::vector<DueEngineOrder> EngineOrders_;
  EngineOrderOutcome Outcome_ = EngineOrderOutcome::Done;
  std::size_t ReleasedLeases_ = 0;
  bool IsRenewing_ = true;

private:
  void configure() {
    Service Chat;
    Chat.Name_ = ServiceName("chat");
    Chat.Kind_ = ServiceKind::Model;
    Chat.Placement_.DataCentres_ = {DataCentre("a"), DataCentre("b")};
    Chat.Placement_.DesiredServers_ = DesiredCount_;
    Chat.Weights_.RecomputedToken_ = 0.001;
    std::vector<ConfigurationObject> Objects = {
        {{ObjectKind::Service, "chat"}, 1, false, encodeJson(Chat)}};
    for (auto const &[Id, Server] : Introduced_)
      Objects.push_back(
          {{ObjectKind::Server, Id.text()}, 2, false, encodeJson(Server)});
    feed(controller::ConfigurationUpdated{Configuration::create(Objects)});
  }

  void perform(controller::ReadRecord const &Call) {
    ++Calls_;
    feed(Store_.answer(Call));
  }
  void perform(controller::WriteRecord const &Call) {
    ++Calls_;
    feed(Store_.answer(Call));
  }
  void perform(controller::StartServer const &Call) {
    ++Calls_;
    feed(Cloud_.start(Call.Order_));
  }
  void perform(controller::DrainServer const &Call) {
    Drained_.insert(Call.Server_);
  }
  void perform(controller::StopServer const &Call) {
    ++Calls_;
    Cloud_.Servers_[Call.Server_].IsRunning_ = false;
    feed(controller::ServerStopped{Call.Server_});
  }
  void perform(controller::SendEngineOrder const &Call) {
    ++Calls_;
    EngineOrders_.push_back(Call.Order_);
    auto const &Order = Call.Order_.Order_;
    feed(
        controller::EngineOrderEnded{Order.OrderId_, Order.Fencing_, Outcome_});
  }
  void perform(controller::ReleaseLease const & /*Call*/) {
    ++ReleasedLeases_;
    Lease_.reset();
  }

  std::optional<HeldLease> Lease_;
  std::uint32_t DesiredCount_ = 3;
  std::map<ServerId, BackendServer> Introduced_;
  std::vector<controller::Action> Pending_;
};

} // namespace laburnum::test
