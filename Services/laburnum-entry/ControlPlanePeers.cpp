// The messages between instances.

#include "ControlPlane.h"

#include <asio/post.hpp>

namespace laburnum {

void ControlPlane::onPeerMessage(InstanceId const &From,
                                 PeerMessage const &Message) {
  if (auto const *const Report = std::get_if<ConsumptionReport>(&Message))
    onReport(From, *Report);
  else if (auto const *const Sum = std::get_if<ConsumptionSum>(&Message))
    onSum(*Sum);
  else if (auto const *const Reports = std::get_if<CrashReports>(&Message))
    CrashGuardTasks_.onPeer(*Reports);
  else if (auto const *const Notice =
               std::get_if<ServerLeavingNotice>(&Message))
    onTraffic([&Traffic = Dependencies_.Traffic_, Received = *Notice] {
      Traffic.onPeerNotice(Received);
    });
  else if (auto const *const Limits = std::get_if<ServerRateLimits>(&Message))
    RateLimitTasks_.onPeer(*Limits);
  else if (auto const *const Work = std::get_if<EngineWorkReport>(&Message))
    EngineWorkTasks_.onPeer(From, *Work);
  else if (auto const *const Sum = std::get_if<EngineWorkSum>(&Message))
    EngineWorkTasks_.onPeer(*Sum);
  else if (auto const *const Shares = std::get_if<RolloutShares>(&Message))
    RolloutTasks_.onPeer(*Shares);
  else if (auto const *const Report = std::get_if<VersionReport>(&Message))
    RolloutTasks_.onPeer(From, *Report);
  else if (auto const *const Update = std::get_if<StoreUpdate>(&Message))
    onStoreUpdate(*Update);
  else if (auto const *const Request = std::get_if<SnapshotRequest>(&Message))
    onSnapshotRequest(*Request);
}

void ControlPlane::onStoreUpdate(StoreUpdate const &Update) {
  if (!StreamOriginTasks_.onPeer(Update))
    Follower_->onStoreUpdate(Update);
}

void ControlPlane::onSnapshotRequest(SnapshotRequest const &Request) {
  if (!StreamOriginTasks_.onPeer(Request))
    Follower_->onRequest(Request);
}

void ControlPlane::notifyPeersOfServer(ServerLeavingNotice const &Notice) {
  bool const IsForAllInstances = Notice.Liveness_ == Liveness::Gone;
  for (auto const &Other : Peers_->view().Members_)
    if (Other.Liveness_ == Liveness::Live &&
        Other.Instance_.Id_ != Incarnation_ &&
        (IsForAllInstances ||
         Other.Instance_.DataCentre_ == Dependencies_.Settings_.DataCentre_))
      Peers_->send({Other.Instance_.Peers_, Notice});
}

void ControlPlane::onReport(InstanceId const &From,
                            ConsumptionReport const &Report) {
  auto const Now = readBootClock();
  Dependencies_.Clock_.onPeer(From, Report.TimeOfDay_, Now);
  LeaseHolderTasks_.onReport(From, Report, Now, Dependencies_.Clock_.read(Now));
  Collector_.onReport(From, Report, Now);
  // With a collector, reports reach the traffic thread as part of its sum.
  if (Collector_.isDirect())
    onTraffic([&Traffic = Dependencies_.Traffic_, From, Report] {
      Traffic.onConsumption(From, Report);
    });
}

void ControlPlane::onSum(ConsumptionSum const &Sum) {
  auto const Now = readBootClock();
  Dependencies_.Clock_.onPeer(Sum.Origin_, Sum.TimeOfDay_, Now);
  for (auto const &Child : Collector_.onSum(Sum, Now))
    Peers_->send({Child, Sum});
  if (!Collector_.isDirect())
    onTraffic([&Traffic = Dependencies_.Traffic_, Sum] {
      Traffic.onConsumptionSum(Sum);
    });
}

void ControlPlane::sendSum() {
  auto const Now = readBootClock();
  auto const Sum = Collector_.sum(Dependencies_.Clock_.read(Now), Now);
  for (auto const &Child : Collector_.rootChildren())
    Peers_->send({Child, Sum});
  onTraffic([&Traffic = Dependencies_.Traffic_, Sum] {
    Traffic.onConsumptionSum(Sum);
  });
}

void ControlPlane::reportConsumption() {
  auto const Period = Collector_.period();
  LeaseHolderTasks_.setReportPeriod(Period);
  auto const Source = Collector_.isDirect()
                          ? AccountQuotaLimiter::Source::Peers
                          : AccountQuotaLimiter::Source::Collectors;
  onTraffic([this, Source, Period] {
    Dependencies_.Traffic_.setReporting(Source, Period);
    auto const Report = Dependencies_.Traffic_.reportConsumption();
    asio::post(Dependencies_.Context_, [this, Report] { sendReport(Report); });
  });
  EngineWorkTasks_.report({Collector_.isDirect(), Collector_.isCollector(),
                           Collector_.targets(readBootClock())},
                          Period);
  RolloutTasks_.report(Collector_.isDirect() ? std::nullopt
                                             : std::optional(Collector_.targets(
                                                   readBootClock())));
  ReportTimer_.expires_after(Period);
  ReportTimer_.async_wait([this](asio::error_code Failure) {
    if (!Failure)
      reportConsumption();
  });
}

void ControlPlane::sendReport(ConsumptionReport Report) {
  auto const Now = readBootClock();
  auto const MedianTime = Dependencies_.Clock_.read(Now);
  for (auto const &[Window, Counts] : Dependencies_.Usage_.since(
           Dependencies_.Usage_.windowOf(MedianTime) - 1))
    for (auto const &[Account, Count] : Counts)
      Report.Usage_.push_back({Window, Account, Count});
  Report.TimeOfDay_ = timeOfDay();
  LeaseHolderTasks_.onReport(Incarnation_, Report, Now, MedianTime);
  Collector_.onReport(Incarnation_, Report, Now);
  if (Collector_.isDirect())
    return Peers_->sendToAll(Report);
  LeaseHolderTasks_.setConnectivity(Collector_.isHolderReporting(Now)
                                        ? PeerConnectivity::Full
                                        : PeerConnectivity::Partial);
  for (auto const &Target : Collector_.targets(Now))
    Peers_->send({Target, Report});
  if (Collector_.isCollector())
    sendSum();
}

} // namespace laburnum
