#include "EntryMetrics.h"

#include <algorithm>
#include <sstream>

namespace laburnum {

namespace {

std::string pageName(MetricSnapshot const &Metric) {
  std::string Name = "laburnum_" + Metric.Name_;
  std::replace(Name.begin(), Name.end(), '.', '_');
  return Name;
}

bool isDistribution(MetricSnapshot const &Metric) {
  return Metric.Unit_ == "ms";
}

} // namespace

EntryMetrics::EntryMetrics()
    : Answered_(Registry_.counter("requests.answered", "requests")),
      Refused_(Registry_.counter("requests.refused", "requests")),
      OverQuota_(Registry_.counter("requests.over_quota", "requests")),
      Failed_(Registry_.counter("requests.failed", "requests")),
      Aborted_(Registry_.counter("requests.aborted", "requests")),
      ClientLeft_(Registry_.counter("requests.client_left", "requests")),
      Rejected_(Registry_.counter("requests.rejected", "requests")),
      GivenUp_(Registry_.counter("requests.given_up", "requests")),
      CrossedCloses_(Registry_.counter("requests.crossed_close", "requests")),
      Unroutable_(Registry_.counter("requests.unroutable", "requests")),
      AttemptsSent_(Registry_.counter("attempts.sent", "attempts")),
      AttemptsByWork_(Registry_.counter("attempts.by_work", "attempts")),
      AttemptsFailed_(Registry_.counter("attempts.failed", "attempts")),
      AttemptsBrokenOff_(Registry_.counter("attempts.broken_off", "attempts")),
      AttemptsRefused_(Registry_.counter("attempts.refused", "attempts")),
      ContentRefused_(
          Registry_.counter("requests.content_refused", "requests")),
      ServersCrashed_(Registry_.counter("servers.crashed", "servers")),
      OtherIncarnations_(
          Registry_.counter("servers.other_incarnations", "attempts")),
      BackoffsRequested_(Registry_.counter("servers.paused", "times")),
      RateLimitsAnnounced_(
          Registry_.counter("servers.limits_announced", "answers")),
      RateLimitsUnreadable_(
          Registry_.counter("servers.limits_unreadable", "answers")),
      PassedToPeers_(Registry_.counter("attempts.passed_to_peers", "attempts")),
      AttemptsRateLimited_(
          Registry_.counter("attempts.rate_limited", "attempts")),
      LinksBroken_(Registry_.counter("servers.links_broken", "breaks")),
      MismatchedAnswers_(
          Registry_.counter("attempts.foreign_answers", "answers")),
      RolloutSteps_(Registry_.counter("rollouts.steps", "steps")),
      ConfigurationsApplied_(
          Registry_.counter("configuration.applied", "versions")),
      ServersOrdered_(Registry_.counter("orders.sent", "orders")),
      OrdersFailed_(Registry_.counter("orders.failed", "orders")),
      DependenciesLost_(Registry_.counter("dependencies.lost", "times")),
      StoreRestorations_(Registry_.counter("store.restorations", "times")),
      Queued_(Registry_.distribution("requests.queued_ms", "ms")),
      FirstByte_(Registry_.distribution("requests.first_byte_ms", "ms")),
      Total_(Registry_.distribution("requests.total_ms", "ms")) {}

std::string EntryMetrics::text() {
  std::ostringstream Page;
  for (auto const &Metric : Registry_.snapshot()) {
    auto const Name = pageName(Metric);
    if (!isDistribution(Metric)) {
      Page << Name << "_total " << Metric.Count_ << '\n';
      continue;
    }
    Page << Name << "_count " << Metric.Count_ << '\n'
         << Name << "_sum " << Metric.Sum_ << '\n'
         << Name << "{quantile=\"0.5\"} " << Metric.P50_ << '\n'
         << Name << "{quantile=\"0.95\"} " << Metric.P95_ << '\n'
         << Name << "{quantile=\"0.99\"} " << Metric.P99_ << '\n'
         << Name << "{quantile=\"1\"} " << Metric.Maximum_ << '\n';
  }
  return Page.str();
}

} // namespace laburnum
