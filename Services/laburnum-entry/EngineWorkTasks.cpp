#include "EngineWorkTasks.h"

#include <asio/post.hpp>

#include <algorithm>

namespace laburnum {

namespace {

/// How long the work of a service is known after the last sum.
constexpr std::chrono::seconds WorkValidity{5};

} // namespace

EngineWorkTasks::EngineWorkTasks(EngineWorkDependencies Dependencies,
                                 EntryInstance const &Self)
    : Dependencies_(Dependencies), Self_(Self), Exchange_(Self) {}

void EngineWorkTasks::setTable(RouteTable const &Table) {
  IsEnabled_ = std::any_of(
      Table.services().begin(), Table.services().end(), [](auto const &Entry) {
        return Entry.second.Engine_ && Entry.second.Engine_->isWorkBound();
      });
}

void EngineWorkTasks::setMembers(std::vector<Member> const &Members,
                                 std::set<Endpoint> Collectors) {
  Exchange_.setMembers(Members, std::move(Collectors));
}

void EngineWorkTasks::report(Routing const &Route, Duration Period) {
  if (!IsEnabled_)
    return;
  Exchange_.setPeriod(Period);
  asio::post(Dependencies_.TrafficContext_, [this, Route, Period] {
    auto const Report = Dependencies_.Traffic_.reportEngineWork(Period);
    asio::post(Dependencies_.Context_,
               [this, Route, Report] { send(Report, Route); });
  });
}

void EngineWorkTasks::send(EngineWorkReport const &Report,
                           Routing const &Route) {
  if (!Peers_)
    return;
  auto const Now = readBootClock();
  Exchange_.onReport(Self_.Id_, Report, Now);
  if (Route.IsDirect_) {
    Peers_->sendToAll(Report);
    return apply(Exchange_.sum(Now));
  }
  for (auto const &Target : Route.Targets_)
    Peers_->send({Target, Report});
  if (!Route.IsCollector_)
    return;
  auto const Sum = Exchange_.sum(Now);
  for (auto const &Child : Exchange_.rootChildren())
    Peers_->send({Child, Sum});
  apply(Sum);
}

void EngineWorkTasks::onPeer(InstanceId const &From,
                             EngineWorkReport const &Report) {
  Exchange_.onReport(From, Report, readBootClock());
}

void EngineWorkTasks::onPeer(EngineWorkSum const &Sum) {
  auto const Children = Exchange_.onSum(Sum, readBootClock());
  if (!Children)
    return;
  for (auto const &Child : *Children)
    Peers_->send({Child, Sum});
  apply(Sum);
}

void EngineWorkTasks::apply(EngineWorkSum const &Sum) {
  Services_ = Sum.Services_;
  AppliedAt_ = readBootClock();
  asio::post(
      Dependencies_.TrafficContext_,
      [&Traffic = Dependencies_.Traffic_, Sum] { Traffic.onEngineWork(Sum); });
}

std::optional<ServiceWork> EngineWorkTasks::work(ServiceName const &Service,
                                                 TimePoint Now) const {
  if (AppliedAt_ == TimePoint::min() || AppliedAt_ + WorkValidity < Now)
    return std::nullopt;
  for (auto const &Work : Services_)
    if (Work.Service_ == Service)
      return Work;
  return std::nullopt;
}

} // namespace laburnum
