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

/// A load of streams on a route that does not allow them to be resumed, and the
/// check of the rule LOST for connections that clients keep.
struct StreamCase {
  int Runners_ = 7;
  unsigned Slots_ = 32;
  unsigned Instances_ = 2;
  int Clients_ = 56;
  double DeadlineMs_ = 2500;
  double EndAtMs_ = 14000;
  int Allowed_ = 3;
  std::string Trouble_; ///< What the disruption is, for the record.
  /// Answers one stream; SinceMs is the time since the clients began, negative
  /// before that. Returns whether the connection stays open.
  std::function<bool(Runner &, Message const &, Connection &, Runs &,
                     double SinceMs)>
      Serve_;
};

/// One chunk of a chunked body.
std::string chunk(std::string const &Bytes);
/// The text of an event.
std::string eventText(int Id);
/// Plays the case. Returns the exit status of its script.
int play(StreamCase const &Case, Record &Into);

} // namespace review
