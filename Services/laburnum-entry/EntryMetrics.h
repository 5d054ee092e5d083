#pragma once

#include <LibMetrics/MetricsRegistry.h>

#include <string>

namespace laburnum {

/// What an entry instance counts and measures. Any thread may use it.
class EntryMetrics {
public:
  EntryMetrics();

  /// All metrics as lines of name and value; a distribution has a line for its
  /// count, its sum and each quantile.
  std::string text();

private:
  MetricsRegistry Registry_; ///< Declared first, as the references point in.

public:
  Counter &Answered_;   ///< With a server's answer, whatever its status.
  Counter &Refused_;    ///< 503: not run.
  Counter &OverQuota_;  ///< 429.
  Counter &Failed_;     ///< 502 and 504.
  Counter &Aborted_;    ///< Streams broken off here.
  Counter &ClientLeft_; ///< Before the answer had ended.
  Counter &Rejected_;   ///< Not valid HTTP, or over a bound.
  Counter &Unroutable_; ///< 400, 401, 404.
  Counter &AttemptsSent_;
  Counter &AttemptsFailed_;
  Counter &AttemptsBrokenOff_; ///< Of those failed: may have run.
  Counter &AttemptsRefused_;   ///< By the server, before any work.
  Counter &ContentRefused_;    ///< 503: servers crashed under the content.
  Counter &ServersCrashed_;    ///< Gone when probed after a broken connection.
  Counter &ServersPaused_;     ///< Answers of theirs that asked for it.
  Counter &LinksBroken_;       ///< Still there when probed.
  Counter &ForeignAnswers_;    ///< Passed over on a kept connection.
  Counter &ConfigurationsApplied_;
  Counter &ServersOrdered_;
  Counter &OrdersFailed_;
  Counter &DependenciesLost_;
  Distribution &Queued_; ///< Until the first attempt.
  Distribution &FirstByte_;
  Distribution &Total_;
};

} // namespace laburnum
