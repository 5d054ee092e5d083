// What instances tell each other to share quotas, budgets and servers.

#include "TrafficPlane.h"

namespace laburnum {

void TrafficPlane::setRegistered(std::size_t Instances) {
  Retries_.setShare(1.0 / static_cast<double>(Instances));
  QuotaLimiter_.setRegistered(Instances);
  Roster_.setRegistered(Instances);
}

void TrafficPlane::setReporting(AccountQuotaLimiter::Source Source,
                                Duration Period) {
  QuotaLimiter_.setPeriod(Period);
  QuotaLimiter_.setSource(Source, readBootClock());
}

ConsumptionReport TrafficPlane::reportConsumption() {
  auto Report = QuotaLimiter_.report(readBootClock());
  auto const Waiting = Queue_.waitingByService();
  for (auto const &[Service, Running] : Roster_.runningByService()) {
    auto const Found = Waiting.find(Service);
    Report.Services_.push_back({Service, Running,
                                Found == Waiting.end() ? 0 : Found->second,
                                RequestsByService_[Service]});
  }
  return Report;
}

void TrafficPlane::onConsumption(InstanceId const &From,
                                 ConsumptionReport const &Report) {
  QuotaLimiter_.onReport(From, Report, readBootClock());
}

void TrafficPlane::onConsumptionSum(ConsumptionSum const &Sum) {
  QuotaLimiter_.onSum(Sum, readBootClock());
}

EngineWorkReport TrafficPlane::reportEngineWork(Duration Period) {
  auto const Now = readBootClock();
  Roster_.backlog().setReportPeriod(Period);
  return {Roster_.backlog().report(Now), WorkMeter_.report(Now)};
}

void TrafficPlane::onEngineWork(EngineWorkSum const &Sum) {
  Roster_.backlog().onSum(Sum.Servers_, readBootClock());
  for (auto const &Work : Sum.Services_)
    if (auto const Speed = readingSpeed(Work))
      Roster_.setReadingSpeed(Work.Service_, *Speed);
}

std::optional<Duration>
TrafficPlane::quotaRetryAfter(RoutedAccount const &Account,
                              RequestMetadata const &Metadata) {
  std::optional<std::uint64_t> Tokens;
  if (Metadata.Tokens_)
    Tokens = Metadata.Tokens_->Prompt_ + Metadata.Tokens_->MaxOutput_;
  return QuotaLimiter_.admit(Account.Name_, quotaCost(Account.Quota_, Tokens),
                             readBootClock());
}

} // namespace laburnum
