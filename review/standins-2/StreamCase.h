#pragma once

#include "Standins.h"

namespace review {

/// What a runner did with a request.
struct Run {
  std::string Runner_;
  std::string Form_;       ///< How its answer was framed.
  double EndedAtMs_ = 0.0; ///< 0: it has not sent its whole answer.
};

/// The runs of all runners. Thread-safe.
class Runs {
public:
  void begin(std::string const &Id, std::string const &Runner);
  void end(std::string const &Id, std::string const &Form);
  Run of(std::string const &Id);

private:
  std::mutex Mutex_;
  std::map<std::string, Run> Runs_;
};

/// A signal to an instance, as planned work sends it.
struct PlannedSignal {
  unsigned Instance_ = 0;
  int Signal_ = 0; ///< SIGTERM, after which the instance starts again; SIGHUP.
  double AtMs_ = 0;
};

/// The signals that were sent. Thread-safe.
class PlannedWork {
public:
  void add(PlannedSignal const &Sent);
  /// Whether the rule LOST counts a request that an instance has cut as one
  /// around planned work.
  bool covers(unsigned Instance, double SentAtMs, double CutAtMs,
              double RunEndedAtMs);

private:
  std::mutex Mutex_;
  std::vector<PlannedSignal> Sent_;
};

/// A load of streams on a route that does not allow them to be resumed, planned
/// work on the instances, and the check of the rule LOST.
struct StreamCase {
  int Runners_ = 7;
  unsigned Slots_ = 32;
  unsigned Instances_ = 4;
  int Clients_ = 112;
  double DeadlineMs_ = 2500;
  double EndAtMs_ = 0;
  int AllowedAtAnyTime_ = 3;
  std::string Load_; ///< What the runners do, for the record.
  /// The disruption. Times are since the clients began.
  std::vector<PlannedSignal> Signals_;
  /// Answers one stream. Returns whether the connection stays open.
  std::function<bool(Runner &, Message const &, Connection &, Runs &)> Serve_;
};

/// One chunk of a chunked body.
std::string chunk(std::string const &Bytes);
/// The text of an event.
std::string eventText(int Id);
/// Plays the case. Returns the exit status of its script.
int play(StreamCase const &Case, Record &Into);

} // namespace review
