#include <LibPlacement/EngineOrderScheduler.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Servers that stay take the long requests.
std::string roleOf(BackendServer const &Server) {
  return Server.IsReclaimable_ ? "short" : "long";
}

std::string orderId(BackendServer const &Server, FencedOrder const &Order) {
  return Server.Id_.text() + "/" +
         std::to_string(static_cast<int>(Order.Kind_)) + "/" + Order.Argument_ +
         "/" + std::to_string(Order.Fencing_);
}

/// Empty when the engine may not be given an order now.
std::optional<TimePoint> sendBefore(BackendServer const &Server,
                                    HeldLease const &Lease,
                                    Duration MaxDeliveryDelay, TimePoint Now) {
  auto Before = Lease.ValidUntil_;
  if (Server.Fencing_ == FencingCheck::Ignored) {
    if (Now < Lease.GainedAt_ + MaxDeliveryDelay)
      return std::nullopt;
    Before -= MaxDeliveryDelay;
  }
  return Now < Before ? std::optional(Before) : std::nullopt;
}

} // namespace

void EngineOrderScheduler::setServers(std::vector<BackendServer> Servers) {
  Servers_ = std::move(Servers);
  std::erase_if(Progress_, [&](auto const &Entry) {
    return std::none_of(
        Servers_.begin(), Servers_.end(),
        [&](BackendServer const &One) { return One.Id_ == Entry.first.first; });
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
    for (auto const &Wanted : {Load, Role})
      if (auto Order = next(Server, Wanted, Lease, Now))
        Orders.push_back(*std::move(Order));
  }
  return Orders;
}

void EngineOrderScheduler::beginLeaseTerm(HeldLease const &Lease) {
  Fencing_ = Lease.Fencing_;
  Progress_.clear();
}

std::optional<DueEngineOrder>
EngineOrderScheduler::next(BackendServer const &Server, FencedOrder Wanted,
                           HeldLease const &Lease, TimePoint Now) {
  Wanted.OrderId_ = orderId(Server, Wanted);
  auto &At = Progress_[{Server.Id_, Wanted.Kind_}];
  if (At.OrderId_ != Wanted.OrderId_)
    At = Progress{Wanted.OrderId_};
  if (At.IsDone_ || At.IsAwaited_ || Now < At.NotBefore_)
    return std::nullopt;
  auto const Before =
      sendBefore(Server, Lease, Settings_.MaxDeliveryDelay_, Now);
  if (!Before)
    return std::nullopt;
  if (Wanted.Kind_ != EngineOrderKind::SetRole && !takeLoad(Now))
    return std::nullopt;
  At.IsAwaited_ = true;
  return DueEngineOrder{Server, std::move(Wanted), *Before};
}

bool EngineOrderScheduler::takeLoad(TimePoint Now) {
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
  for (auto &[Key, At] : Progress_) {
    if (At.OrderId_ != OrderId)
      continue;
    At.IsAwaited_ = false;
    At.IsDone_ = Outcome == EngineOrderOutcome::Done;
    At.NotBefore_ = Now + Settings_.RetryPause_;
  }
}

} // namespace laburnum
