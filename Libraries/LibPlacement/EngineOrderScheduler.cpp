#include <LibPlacement/EngineOrderScheduler.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Servers that cannot be reclaimed get the long requests.
std::string roleOf(BackendServer const &Server) {
  return Server.IsReclaimable_ ? "short" : "long";
}

std::string orderId(BackendServer const &Server, FencedOrder const &Order) {
  return Server.Id_.text() + "/" +
         std::to_string(static_cast<int>(Order.Kind_)) + "/" + Order.Argument_ +
         "/" + std::to_string(Order.Fencing_);
}

/// Returns the time before which an order must be sent to the engine, or
/// nothing when no order may be sent now.
std::optional<TimePoint> sendBefore(BackendServer const &Server,
                                    HeldLease const &Lease,
                                    Duration MaxDeliveryDelay, TimePoint Now) {
  auto Deadline = Lease.ValidUntil_;
  if (Server.Fencing_ == FencingCheck::Ignored) {
    if (Now < Lease.GainedAt_ + MaxDeliveryDelay)
      return std::nullopt;
    Deadline -= MaxDeliveryDelay;
  }
  return Now < Deadline ? std::optional(Deadline) : std::nullopt;
}

} // namespace

void EngineOrderScheduler::setServers(std::vector<BackendServer> Servers) {
  Servers_ = std::move(Servers);
  std::erase_if(Progress_, [&](auto const &Entry) {
    return std::none_of(Servers_.begin(), Servers_.end(),
                        [&](BackendServer const &Listed) {
                          return Listed.Id_ == Entry.first.first;
                        });
  });
}

std::vector<DueEngineOrder>
EngineOrderScheduler::dueOrders(HeldLease const &Lease, TimePoint Now) {
  if (Lease.Fencing_ != Fencing_)
    beginLeaseTerm(Lease);
  std::vector<DueEngineOrder> Orders;
  for (auto const &Server : Servers_) {
    FencedOrder const Load{Fencing_, "", EngineOrderKind::LoadModel,
                           Server.Service_.text()};
    FencedOrder const Role{Fencing_, "", EngineOrderKind::SetRole,
                           roleOf(Server)};
    for (auto const &TargetOrder : {Load, Role})
      if (auto Order = nextOrder(Server, TargetOrder, Lease, Now))
        Orders.push_back(*std::move(Order));
  }
  return Orders;
}

void EngineOrderScheduler::beginLeaseTerm(HeldLease const &Lease) {
  Fencing_ = Lease.Fencing_;
  Progress_.clear();
}

std::optional<DueEngineOrder>
EngineOrderScheduler::nextOrder(BackendServer const &Server,
                                FencedOrder TargetOrder, HeldLease const &Lease,
                                TimePoint Now) {
  TargetOrder.OrderId_ = orderId(Server, TargetOrder);
  auto &Current = Progress_[{Server.Id_, TargetOrder.Kind_}];
  if (Current.OrderId_ != TargetOrder.OrderId_)
    Current = Progress{TargetOrder.OrderId_};
  if (Current.IsDone_ || Current.IsAwaited_ || Now < Current.NotBefore_)
    return std::nullopt;
  auto const Deadline =
      sendBefore(Server, Lease, Settings_.MaxDeliveryDelay_, Now);
  if (!Deadline)
    return std::nullopt;
  if (TargetOrder.Kind_ != EngineOrderKind::SetRole && !tryTakeLoad(Now))
    return std::nullopt;
  Current.IsAwaited_ = true;
  return DueEngineOrder{Server, std::move(TargetOrder), *Deadline};
}

bool EngineOrderScheduler::tryTakeLoad(TimePoint Now) {
  if (Now < NextLoad_)
    return false;
  constexpr double MicrosecondsPerSecond = 1e6;
  NextLoad_ = Now + Duration(static_cast<std::int64_t>(
                        MicrosecondsPerSecond / Settings_.LoadsPerSecond_));
  return true;
}

void EngineOrderScheduler::onOrderEnded(std::string const &OrderId,
                                        EngineOrderOutcome Outcome,
                                        TimePoint Now) {
  for (auto &[Key, Current] : Progress_) {
    if (Current.OrderId_ != OrderId)
      continue;
    Current.IsAwaited_ = false;
    Current.IsDone_ = Outcome == EngineOrderOutcome::Done;
    Current.NotBefore_ = Now + Settings_.RetryPause_;
  }
}

} // namespace laburnum
