#include "LeaseHolderTasks.h"

#include <LibTraffic/ServiceWorkMeter.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Added to the configured lease length. The lease is longer than the span in
/// which it must not alternate between holders, so that a returning holder
/// cannot regain it within that span.
constexpr std::chrono::seconds LeaseLengthMargin{1};
constexpr std::chrono::milliseconds LeaseMargin{700};
constexpr std::chrono::milliseconds LeaseRenewPeriod{1300};
constexpr std::chrono::milliseconds LeasePollPeriod{1500};
/// Number of instances that poll the lease at the same rate, so that a
/// successor takes over in time even if several are lost together with the
/// holder. Their reads may be stale, which makes them cheap.
constexpr std::uint32_t LeaseCandidates = 8;
constexpr std::chrono::milliseconds OrderTimeout{1000};

lease::Settings leaseSettings(EntrySettings const &Settings,
                              InstanceId const &Incarnation,
                              std::uint64_t Seed) {
  lease::Settings Lease;
  Lease.Self_ = Incarnation;
  Lease.PreviousIncarnations_ = Settings.Name_ + ".";
  Lease.FirstRead_ = lease::FirstRead::AtOnce;
  Lease.Seed_ = Seed;
  Lease.Length_ = Settings.LeaseLength_ + LeaseLengthMargin;
  Lease.Margin_ = LeaseMargin;
  Lease.RenewPeriod_ = LeaseRenewPeriod;
  Lease.PollPeriod_ = LeasePollPeriod;
  Lease.FirstCandidates_ = LeaseCandidates;
  return Lease;
}

Duration minLatencyTarget(RouteTable const &Table, ServiceName const &Service) {
  auto Minimum = CapacityInput().LatencyTarget_;
  for (auto const &Route : Table.routes())
    for (auto const &Choice : Route.Services_)
      if (Choice.Service_ == Service)
        Minimum = std::min(Minimum, Route.LatencyTarget_);
  return Minimum;
}

Duration maxLatencyTarget(RouteTable const &Table, ServiceName const &Service) {
  Duration Maximum{};
  for (auto const &Route : Table.routes())
    for (auto const &Choice : Route.Services_)
      if (Choice.Service_ == Service)
        Maximum = std::max(Maximum, Route.LatencyTarget_);
  return Maximum;
}

} // namespace

LeaseHolderTasks::LeaseHolderTasks(Dependencies Dependencies,
                                   InstanceId const &Incarnation,
                                   std::uint64_t Seed)
    : Dependencies_(Dependencies),
      Lease_(std::make_shared<LeaseDriver>(
          Dependencies.Store_,
          leaseSettings(Dependencies.Settings_, Incarnation, Seed),
          readBootClock,
          [this](std::optional<HeldLease> const &Held) { onLease(Held); })),
      Reporter_(std::make_shared<UsageReporter>(
          Dependencies.Store_, Dependencies.PlatformApi_, Dependencies.Usage_,
          UsageReporter::Settings{Incarnation.text(),
                                  Dependencies.Settings_.UsageReportDelay_},
          [this](std::int64_t Window, std::string const &Step,
                 std::string const &Detail) {
            Dependencies_.Log_.write(LogLine("usage")
                                         .add("window", Window)
                                         .add("step", Step)
                                         .add("detail", Detail));
          },
          [this] { Lease_->onFencedOut(readBootClock()); })) {}

std::optional<Fence> LeaseHolderTasks::fence(TimePoint Now) const {
  auto const Held = Lease_->held(Now);
  if (!Held)
    return std::nullopt;
  return Fence{Dependencies_.Settings_.Name_, Held->Fencing_};
}

void LeaseHolderTasks::tick(TimePoint Now, Duration MedianTime,
                            PeerCoverage Coverage) {
  Lease_->tick(Now);
  auto const Held = fence(Now);
  Reporter_->tick(Held, MedianTime);
  if (Coverage == PeerCoverage::AllInstances)
    planCapacity(Held, Now);
}

void LeaseHolderTasks::setTable(std::shared_ptr<RouteTable const> Table) {
  Table_ = std::move(Table);
}

void LeaseHolderTasks::replaceServers(
    std::vector<ServerRecord> const &Records) {
  Servers_.clear();
  for (auto const &Record : Records)
    Servers_[Record.Id_] = Record;
}

void LeaseHolderTasks::updateServer(ServerRecord const &Record) {
  Servers_[Record.Id_] = Record;
}

void LeaseHolderTasks::removeServer(ServerId const &Id) { Servers_.erase(Id); }

void LeaseHolderTasks::onReport(InstanceId const &From,
                                ConsumptionReport const &Report, TimePoint Now,
                                Duration MedianTime) {
  Demand_.onReport(From, Report.Services_, Now);
  Reporter_->onPeer(From.text(), Report.Usage_, MedianTime);
}

void LeaseHolderTasks::planCapacity(std::optional<Fence> const &Held,
                                    TimePoint Now) {
  if (!Table_)
    return;
  for (auto const &[Name, Service] : Table_->services()) {
    if (!Service.Scaling_)
      continue;
    CapacityInput Input;
    Input.Service_ = Name;
    Input.Bounds_ = *Service.Scaling_;
    for (auto const &[Id, Record] : Servers_)
      if (Record.Service_ == Name)
        Input.Servers_.push_back(Record);
    Input.LatencyTarget_ = minLatencyTarget(*Table_, Name);
    Input.LongestTarget_ = maxLatencyTarget(*Table_, Name);
    if (!Input.Servers_.empty())
      Input.Slots_ = Input.Servers_.front().Slots_;
    Input.Demand_ = Demand_.demand(Name, Now);
    if (Service.Engine_ && Service.Engine_->isWorkBound())
      Input.Work_ = Dependencies_.WorkOf_(Name, Now);
    auto &Planner =
        Planners_.try_emplace(Name, CapacitySettings{}).first->second;
    Planner.observe(Input, Now);
    if (!Held)
      continue;
    for (auto const &Order : Planner.plan(Input, Now)) {
      Dependencies_.Log_.write(
          LogLine("servers_ordered")
              .add("service", Name.text())
              .add("data_centre", Order.DataCentre_.text())
              .add("tenure", Order.CapacityType_ == CapacityType::OnDemand
                                 ? "on_demand"
                                 : "reclaimable")
              .add("count", Order.Count_)
              .add("need", Planner.need())
              .add("need_by_work", Planner.needByWork())
              .add("tokens_per_second",
                   Input.Work_ ? Input.Work_->UnsharedPerSecond_ : 0)
              .add("read_per_second",
                   Input.Work_ ? static_cast<std::int64_t>(
                                     readingSpeed(*Input.Work_).value_or(0.0))
                               : 0)
              .add("residual_tokens",
                   Input.Work_
                       ? static_cast<std::int64_t>(residualTokens(*Input.Work_))
                       : 0)
              .add("requests",
                   static_cast<std::int64_t>(Input.Demand_.Requests_))
              .add("per_second",
                   static_cast<std::int64_t>(Input.Demand_.PerSecond_))
              .add("fence", Held->Number_));
      order(*Held, Order);
    }
  }
}

void LeaseHolderTasks::order(Fence const &Fence, ServerOrder const &Order) {
  Dependencies_.Metrics_.ServersOrdered_.add();
  Dependencies_.PlatformApi_.orderServers(
      Fence, Order, OrderTimeout, [this, Order](Result<Success> const &Sent) {
        if (!isError(Sent))
          return;
        Dependencies_.Metrics_.OrdersFailed_.add();
        auto &Planner = Planners_.at(Order.Service_);
        Dependencies_.Log_.write(
            LogLine("order_failed")
                .add("service", Order.Service_.text())
                .add("data_centre", Order.DataCentre_.text())
                .add("why", errorOf(Sent).Message_));
        if (errorOf(Sent).Kind_ == ErrorKind::Conflict)
          return Planner.onRefused(Order, readBootClock());
        Planner.onLost(Order);
      });
}

void LeaseHolderTasks::setMembers(std::vector<Member> const &Members,
                                  TimePoint Now) {
  Lease_->setMembers(Members, Now);
}

void LeaseHolderTasks::onLease(std::optional<HeldLease> const &Held) {
  auto const Number = Held ? Held->Fencing_ : 0;
  if (Number == LastFence_)
    return;
  Dependencies_.Log_.write(LogLine(Held ? "lease_gained" : "lease_lost")
                               .add("fence", Held ? Number : LastFence_));
  if (!Held)
    for (auto &[Name, Planner] : Planners_)
      Planner.reset();
  LastFence_ = Number;
}

} // namespace laburnum
