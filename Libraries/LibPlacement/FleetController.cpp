#include <LibPlacement/FleetController.h>

#include <algorithm>

namespace laburnum {

using namespace controller;

FleetController::FleetController(controller::Settings Settings)
    : Settings_(Settings), InForce_(std::make_shared<Configuration const>()),
      Departures_(std::make_shared<servers::Departures const>()),
      Engines_(Settings_.Orders_),
      Rates_(Settings_.PriorReclaimsPerHour_, Settings_.PriorServerHours_) {}

std::vector<Action> FleetController::handle(Event const &Event, TimePoint Now) {
  Now_ = Now;
  Actions_.clear();
  std::visit([&](auto const &Each) { on(Each); }, Event);
  act();
  return std::move(Actions_);
}

// Inputs.

/// Under a new lease the record is read again, since another holder may have
/// changed it.
void FleetController::on(LeaseUpdated const &Event) {
  bool const IsSame =
      Lease_ && Event.Lease_ && Lease_->Fencing_ == Event.Lease_->Fencing_;
  Lease_ = Event.Lease_;
  if (IsSame)
    return;
  Record_.reset();
  PendingRecord_.reset();
  Started_.clear();
  Refused_.clear();
  Stopped_.clear();
  DrainedAt_.clear();
  NextRecordCall_ = Now_;
}

void FleetController::on(ConfigurationUpdated const &Event) {
  InForce_ = Event.InForce_;
  updateEngines();
}

void FleetController::on(DeparturesUpdated const &Event) {
  for (auto const &[Id, Departure] : *Event.Departures_) {
    auto const *Server = InForce_->server(Id);
    if (Server && Server->IsReclaimable_ && !Departures_->contains(Id))
      Rates_.addReclaim(Server->DataCentre_);
  }
  Departures_ = Event.Departures_;
  updateEngines();
}

void FleetController::updateEngines() {
  std::vector<BackendServer> Engines;
  for (auto const &[Name, Owner] : InForce_->services()) {
    if (Owner.Kind_ != ServiceKind::Model ||
        Owner.Placement_.DesiredServers_ == 0)
      continue;
    for (auto const &Server : InForce_->serversOf(Name))
      if (!Departures_->contains(Server.Id_))
        Engines.push_back(Server);
  }
  Engines_.setServers(std::move(Engines));
}

void FleetController::on(controller::TimePassed const & /*Event*/) {
  sampleServerHours();
}

void FleetController::sampleServerHours() {
  auto const Length =
      LastReclaimSampleAt_ ? Now_ - *LastReclaimSampleAt_ : Duration(0);
  LastReclaimSampleAt_ = Now_;
  for (auto const &[Name, Owner] : InForce_->services())
    for (auto const &Server : InForce_->serversOf(Name))
      if (Server.IsReclaimable_ && !Departures_->contains(Server.Id_))
        Rates_.addServerHours(Server.DataCentre_, 1, Length);
}

// Results of calls.

void FleetController::on(RecordRead const &Event) {
  IsRecordAwaited_ = false;
  if (Event.Object_.Version_ < RecordVersion_) {
    NextRecordCall_ = Now_ + Settings_.RetryPause_; // A stale read.
    return;
  }
  auto Decoded = decodeOrders(Event.Object_.Value_);
  if (isError(Decoded)) {
    NextRecordCall_ = Now_ + Settings_.MaxBackoff_;
    return;
  }
  RecordVersion_ = Event.Object_.Version_;
  Record_ = takeValue(std::move(Decoded));
  pruneCallState();
}

void FleetController::on(RecordWritten const &Event) {
  IsRecordAwaited_ = false;
  if (!PendingRecord_) // The write started under an earlier lease.
    return;
  RecordVersion_ = std::max(RecordVersion_, Event.Version_);
  Record_ = std::exchange(PendingRecord_, std::nullopt);
  pruneCallState();
}

/// The outcome of the write may be unknown, so the record is read again.
void FleetController::on(RecordFailed const & /*Event*/) {
  IsRecordAwaited_ = false;
  Record_.reset();
  PendingRecord_.reset();
  NextRecordCall_ = Now_ + Settings_.RetryPause_;
}

void FleetController::on(ServerStarted const &Event) {
  Calls_.erase(Event.OrderId_);
  Started_[Event.OrderId_] = Event.Server_;
  if (auto const *Order = find(Event.OrderId_))
    Refusals_.erase(Order->Slot_);
}

void FleetController::on(StartRefused const &Event) {
  Calls_.erase(Event.OrderId_);
  Refused_.insert(Event.OrderId_);
  auto const *Order = find(Event.OrderId_);
  if (!Order)
    return;
  auto &Slot = Refusals_[Order->Slot_];
  if (Now_ < Slot.Until_)
    return; // Already backing off after a refusal of a concurrent start.
  Slot.Backoff_ = std::clamp(Slot.Backoff_ * 2, Settings_.InitialBackoff_,
                             Settings_.MaxBackoff_);
  Slot.Until_ = Now_ + Slot.Backoff_;
}

void FleetController::on(StartFailed const &Event) {
  retryLater(Event.OrderId_);
}

void FleetController::on(ServerStopped const &Event) {
  if (!Record_)
    return;
  for (auto const &Order : Record_->Orders_)
    if (Order.Server_ == Event.Server_) {
      Calls_.erase(Order.OrderId_);
      Stopped_.insert(Order.OrderId_);
    }
}

void FleetController::on(StopFailed const &Event) {
  if (!Record_)
    return;
  for (auto const &Order : Record_->Orders_)
    if (Order.Server_ == Event.Server_)
      retryLater(Order.OrderId_);
}

void FleetController::on(EngineOrderEnded const &Event) {
  if (Event.Outcome_ != EngineOrderOutcome::Fenced)
    return Engines_.onOrderEnded(Event.OrderId_, Event.Outcome_, Now_);
  Engines_.onOrderEnded(Event.OrderId_, EngineOrderOutcome::Failed, Now_);
  if (!Lease_ || Lease_->Fencing_ != Event.Fencing_)
    return; // The order was sent under an earlier lease.
  Lease_.reset();
  Record_.reset();
  Actions_.emplace_back(ReleaseLease{});
}

ServerOrder const *FleetController::find(std::string const &OrderId) const {
  if (!Record_)
    return nullptr;
  for (auto const &Order : Record_->Orders_)
    if (Order.OrderId_ == OrderId)
      return &Order;
  return nullptr;
}

void FleetController::pruneCallState() {
  auto const IsOld = [&](std::string const &Id) { return !find(Id); };
  std::erase_if(Refused_, IsOld);
  std::erase_if(Stopped_, IsOld);
  std::erase_if(Started_,
                [&](auto const &Entry) { return IsOld(Entry.first); });
  std::erase_if(DrainedAt_,
                [&](auto const &Entry) { return IsOld(Entry.first); });
  std::erase_if(Calls_, [&](auto const &Entry) { return IsOld(Entry.first); });
}

void FleetController::retryLater(std::string const &OrderId) {
  Calls_[OrderId] = {false, Now_ + Settings_.RetryPause_};
}

// Decisions.

void FleetController::act() {
  if (!mayCall())
    return;
  sendEngineOrders();
  if (!Record_ && !IsRecordAwaited_ && Now_ >= NextRecordCall_) {
    IsRecordAwaited_ = true;
    Actions_.emplace_back(ReadRecord{});
  }
  if (!Record_ || IsRecordAwaited_)
    return;
  reconcile();
  if (!IsRecordAwaited_)
    callCloud();
}

bool FleetController::mayCall() const {
  return Lease_ &&
         Now_ + Settings_.Orders_.MaxDeliveryDelay_ < Lease_->ValidUntil_;
}

/// Computes the next record from the current one. A changed record is written
/// before any cloud call acts on it.
void FleetController::reconcile() {
  auto Next = *Record_;
  applyCallResults(Next);
  removeDepartedOrders(Next);
  for (auto const &[Name, Owner] : InForce_->services())
    if (Owner.Placement_.DesiredServers_ > 0)
      planService(Owner, Next);
  if (Next == *Record_)
    return;
  IsRecordAwaited_ = true;
  Actions_.emplace_back(WriteRecord{RecordVersion_, encodeOrders(Next)});
  PendingRecord_ = std::move(Next);
}

void FleetController::applyCallResults(OrderRecord &Next) {
  for (auto &Order : Next.Orders_) {
    auto const Found = Started_.find(Order.OrderId_);
    if (Found == Started_.end() || Order.State_ != OrderState::Requested)
      continue;
    Order.State_ = OrderState::Started;
    Order.Server_ = Found->second;
  }
  std::erase_if(Next.Orders_, [&](ServerOrder const &Order) {
    if (Order.State_ == OrderState::Requested)
      return Refused_.contains(Order.OrderId_);
    return Order.State_ == OrderState::Stopping &&
           Stopped_.contains(Order.OrderId_);
  });
}

void FleetController::removeDepartedOrders(OrderRecord &Next) {
  std::erase_if(Next.Orders_, [&](ServerOrder const &Order) {
    auto const Found = Departures_->find(Order.Server_);
    return Found != Departures_->end() &&
           Found->second.Liveness_ == Liveness::Gone;
  });
}

void FleetController::planService(Service const &Owner, OrderRecord &Next) {
  auto const Offers =
      offersFor(Owner, *InForce_, Rates_, refusedSlots(), Settings_.Placement_);
  auto State = stateOf(Owner, *InForce_, *Departures_, Next);
  State.HasRefusals_ = !refusedSlots().empty();
  auto const Change =
      changeFor(Owner, Offers, State, Next, Settings_.Placement_);
  for (auto const &Slot : Change.Starts_)
    addOrder(Next, Owner.Name_, Slot);
  for (auto const &OrderId : Change.Stops_)
    for (auto &Order : Next.Orders_)
      if (Order.OrderId_ == OrderId)
        Order.State_ = OrderState::Stopping;
}

std::set<PlacementSlot> FleetController::refusedSlots() const {
  std::set<PlacementSlot> Slots;
  for (auto const &[Slot, Refused] : Refusals_)
    if (Now_ < Refused.Until_)
      Slots.insert(Slot);
  return Slots;
}

void FleetController::callCloud() {
  for (auto const &Order : Record_->Orders_)
    if (Order.State_ != OrderState::Started)
      callCloudFor(Order);
}

void FleetController::callCloudFor(ServerOrder const &Order) {
  auto &State = Calls_[Order.OrderId_];
  if (State.IsAwaited_ || Now_ < State.NotBefore_)
    return;
  if (Order.State_ == OrderState::Stopping)
    return stop(Order);
  State.IsAwaited_ = true;
  Actions_.emplace_back(
      StartServer{{Order.OrderId_, Order.Service_, Order.Slot_.DataCentre_,
                   Order.Slot_.CapacityType_},
                  Lease_->ValidUntil_ - Settings_.Orders_.MaxDeliveryDelay_});
}

/// A new lease holder that finds the order in the record drains the server for
/// the full drain time again.
void FleetController::stop(ServerOrder const &Order) {
  auto const [Found, IsNew] = DrainedAt_.emplace(Order.OrderId_, Now_);
  if (IsNew)
    Actions_.emplace_back(DrainServer{Order.Server_, Settings_.DrainTime_});
  if (Now_ < Found->second + Settings_.DrainTime_)
    return;
  Calls_[Order.OrderId_].IsAwaited_ = true;
  Actions_.emplace_back(
      StopServer{Order.Server_,
                 Lease_->ValidUntil_ - Settings_.Orders_.MaxDeliveryDelay_});
}

void FleetController::sendEngineOrders() {
  for (auto &Due : Engines_.dueOrders(*Lease_, Now_))
    Actions_.emplace_back(SendEngineOrder{std::move(Due)});
}

} // namespace laburnum
