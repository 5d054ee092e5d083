#pragma once

#include <LibMetrics/MetricsRegistry.h>

#include <string>

namespace laburnum {

/// Counters and distributions of an entry instance. Thread-safe.
class EntryMetrics {
public:
  EntryMetrics();

  /// Returns all metrics as lines of name and value. A distribution has a line
  /// for its count, its sum and each quantile.
  std::string text();

private:
  MetricsRegistry
      Registry_; ///< Declared first: the references below point into it.

public:
  Counter &Answered_;      ///< Answered by a server, with any status.
  Counter &Refused_;       ///< 503: the request was not run.
  Counter &OverQuota_;     ///< 429.
  Counter &Failed_;        ///< 502 and 504.
  Counter &Aborted_;       ///< Streams aborted by this instance.
  Counter &ClientLeft_;    ///< The client disconnected before the answer ended.
  Counter &Rejected_;      ///< Invalid HTTP, or over a size limit.
  Counter &GivenUp_;       ///< Clients took more than the limits allow.
  Counter &CrossedCloses_; ///< Requests that crossed a close, not read.
  Counter &Unroutable_;    ///< 400, 401, 404.
  Counter &AttemptsSent_;
  Counter &AttemptsByWork_; ///< Placed by what they ask of a model server.
  Counter &AttemptsFailed_;
  Counter &AttemptsBrokenOff_; ///< Failed attempts that may have run.
  Counter &AttemptsRefused_;   ///< Refused by the server before running.
  Counter &ContentRefused_; ///< 503: servers crashed while running the content.
  Counter &ServersCrashed_; ///< Unreachable when probed after a disconnect.
  Counter &OtherIncarnations_;   ///< Servers restarted before the list said so.
  Counter &BackoffsRequested_;   ///< Answers that requested a backoff.
  Counter &RateLimitsAnnounced_; ///< Answers that stated a rate limit.
  Counter &RateLimitsUnreadable_; ///< Of these, with an invalid value.
  Counter &PassedToPeers_;        ///< To instances that reach the servers.
  Counter &AttemptsRateLimited_;  ///< Sent to servers with a rate limit.
  Counter &LinksBroken_;          ///< Reachable when probed after a disconnect.
  Counter &MismatchedAnswers_; ///< Of another request; skipped on a kept-alive
                               ///< connection.
  Counter &RolloutSteps_;      ///< Stages that this instance has decided.
  Counter &ConfigurationsApplied_;
  Counter &ServersOrdered_;
  Counter &OrdersFailed_;
  Counter &DependenciesLost_;
  Counter &StoreRestorations_;
  Distribution &Queued_; ///< From arrival to the first attempt.
  Distribution &FirstByte_;
  Distribution &Total_;
};

} // namespace laburnum
