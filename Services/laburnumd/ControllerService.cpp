#include "ControllerService.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace laburnum {

namespace {

constexpr Duration LeaseTick = std::chrono::milliseconds(200);
constexpr Duration ControllerTick = std::chrono::seconds(1);
constexpr std::size_t LeaseThreads = 1;
constexpr std::size_t CallThreads = 4;
/// The maximum delivery delay of an order exceeds its timeout by this much,
/// because data may still be in network buffers when the timeout expires.
constexpr Duration NetworkBufferDelay = std::chrono::seconds(1);

lease::Event leaseWritten(Result<Version> const &Written) {
  if (!isError(Written))
    return lease::LeaseWritten{valueOf(Written)};
  switch (errorOf(Written).Kind_) {
  case ErrorKind::Conflict:
    return lease::WriteRefused{};
  case ErrorKind::Unavailable:
  case ErrorKind::ResourceExhausted:
    return lease::WriteFailed{};
  default:
    return lease::WriteUnknown{};
  }
}

Duration orderTimeout() {
  return EngineOrderSettings().MaxDeliveryDelay_ - NetworkBufferDelay;
}

} // namespace

ControllerService::Metrics::Metrics(MetricsRegistry &Registry)
    : LeasesGained_(Registry.counter("controller.leases_gained", "leases")),
      ServersStarted_(
          Registry.counter("controller.servers_started", "servers")),
      StartsRefused_(Registry.counter("controller.starts_refused", "servers")),
      ServersStopped_(
          Registry.counter("controller.servers_stopped", "servers")),
      EngineOrders_(Registry.counter("controller.engine_orders", "orders")) {}

ControllerService::ControllerService(ControlThread &Control,
                                     ControllerInterfaces Interfaces,
                                     MetricsRegistry &Metrics)
    : Control_(Control), Interfaces_(std::move(Interfaces)), Metrics_(Metrics),
      LeaseCalls_(LeaseThreads), Calls_(CallThreads) {}

ControllerService::~ControllerService() { stop(); }

void ControllerService::start(ControllerServiceSettings const &Settings) {
  Self_ = Settings.Self_;
  PlatformTimeout_ = Settings.PlatformTimeout_;
  lease::Settings LeaseSettings;
  LeaseSettings.Self_ = Settings.Self_;
  LeaseSettings.Seed_ = Settings.Seed_;
  Lease_ = std::make_unique<LeaseHolder>(LeaseSettings);
  Controller_ = std::make_unique<FleetController>(controller::Settings());
  Control_.schedulePeriodically(
      LeaseTick, [this] { feed(lease::Event(lease::TimePassed{})); });
  Control_.schedulePeriodically(ControllerTick, [this] {
    feed(controller::Event(controller::TimePassed{}));
  });
}

void ControllerService::stop() {
  Stopping_ = true;
  LeaseCalls_.join();
  Calls_.join();
}

void ControllerService::membersChanged(std::vector<Member> const &Members) {
  feed(lease::Event(lease::MembersChanged{Members}));
}

void ControllerService::viewChanged(TrafficView const &View) {
  feed(controller::Event(
      controller::ConfigurationUpdated{View.configuration()}));
  feed(controller::Event(controller::DeparturesUpdated{View.departures()}));
}

void ControllerService::feed(lease::Event const &Event) {
  for (auto const &Action : Lease_->handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

void ControllerService::feed(controller::Event const &Event) {
  for (auto const &Action : Controller_->handle(Event, readClock()))
    std::visit([this](auto const &Concrete) { perform(Concrete); }, Action);
}

template <typename Call>
void ControllerService::call(asio::thread_pool &Pool, Call Blocking) {
  if (Stopping_)
    return;
  asio::post(Pool, [this, Blocking] {
    auto const Outcome = std::make_shared<decltype(Blocking())>(Blocking());
    Control_.post([this, Outcome] { feed(*Outcome); });
  });
}

void ControllerService::perform(lease::ReadLease const & /*Action*/) {
  call(LeaseCalls_, [this]() -> lease::Event {
    auto Read = Interfaces_.Objects_.get(lease::leaseKey(), PlatformTimeout_);
    if (isError(Read))
      return lease::ReadFailed{};
    return lease::LeaseRead{takeValue(std::move(Read))};
  });
}

void ControllerService::perform(lease::WriteLease const &Action) {
  call(LeaseCalls_, [this, Action] {
    return leaseWritten(Interfaces_.Objects_.putIf(
        lease::leaseKey(), Action.Expected_, Action.Value_, PlatformTimeout_));
  });
}

void ControllerService::perform(lease::LeaseChanged const & /*Action*/) {
  auto const CurrentLease = Lease_->held(readClock());
  auto const Fencing = CurrentLease ? CurrentLease->Fencing_ : 0;
  if (Fencing != Fencing_) {
    LOG(INFO) << "instance=" << Self_.text()
              << " controller_lease=" << (CurrentLease ? "held" : "lost")
              << " fencing=" << Fencing;
    if (CurrentLease)
      Metrics_.LeasesGained_.add();
  }
  Fencing_ = Fencing;
  feed(controller::Event(controller::LeaseUpdated{CurrentLease}));
}

void ControllerService::perform(controller::ReadRecord const & /*Action*/) {
  call(Calls_, [this]() -> controller::Event {
    auto Read = Interfaces_.Objects_.get(orderRecordKey(), PlatformTimeout_);
    if (isError(Read))
      return controller::RecordFailed{};
    return controller::RecordRead{takeValue(std::move(Read))};
  });
}

void ControllerService::perform(controller::WriteRecord const &Action) {
  call(Calls_, [this, Action]() -> controller::Event {
    auto const Written = Interfaces_.Objects_.putIf(
        orderRecordKey(), Action.Expected_, Action.Value_, PlatformTimeout_);
    if (isError(Written))
      return controller::RecordFailed{};
    return controller::RecordWritten{valueOf(Written)};
  });
}

void ControllerService::perform(controller::StartServer const &Action) {
  call(Calls_, [this, Action] { return start(Action); });
}

void ControllerService::perform(controller::DrainServer const &Action) {
  Interfaces_.DrainServer_(Action.Server_, Action.Within_);
}

void ControllerService::perform(controller::StopServer const &Action) {
  call(Calls_, [this, Action] { return stop(Action); });
}

void ControllerService::perform(controller::SendEngineOrder const &Action) {
  call(Calls_, [this, Action] { return send(Action); });
}

void ControllerService::perform(controller::ReleaseLease const & /*Action*/) {
  LOG(WARNING) << "instance=" << Self_.text()
               << " controller_lease=fenced fencing=" << Fencing_;
  feed(lease::Event(lease::FencedOut{}));
}

controller::Event
ControllerService::start(controller::StartServer const &Action) {
  auto const &OrderId = Action.Order_.OrderId_;
  if (readClock() >= Action.SendBefore_)
    return controller::StartFailed{OrderId};
  auto const Started =
      Interfaces_.Cloud_.start(Action.Order_, PlatformTimeout_);
  if (!isError(Started)) {
    Metrics_.ServersStarted_.add();
    return controller::ServerStarted{OrderId, valueOf(Started)};
  }
  if (errorOf(Started).Kind_ != ErrorKind::ResourceExhausted)
    return controller::StartFailed{OrderId};
  Metrics_.StartsRefused_.add();
  return controller::StartRefused{OrderId};
}

controller::Event
ControllerService::stop(controller::StopServer const &Action) {
  if (readClock() >= Action.SendBefore_)
    return controller::StopFailed{Action.Server_};
  auto const Stopped =
      Interfaces_.Cloud_.stop(Action.Server_, PlatformTimeout_);
  if (isError(Stopped) && errorOf(Stopped).Kind_ != ErrorKind::NotFound)
    return controller::StopFailed{Action.Server_};
  Metrics_.ServersStopped_.add();
  return controller::ServerStopped{Action.Server_};
}

controller::Event
ControllerService::send(controller::SendEngineOrder const &Action) {
  auto const &Due = Action.Order_;
  auto const Outcome = Interfaces_.Engines_.send(
      Due.Server_, Due.Order_, Due.SendBefore_, orderTimeout());
  Metrics_.EngineOrders_.add();
  return controller::EngineOrderEnded{Due.Order_.OrderId_, Due.Order_.Fencing_,
                                      Outcome};
}

} // namespace laburnum
