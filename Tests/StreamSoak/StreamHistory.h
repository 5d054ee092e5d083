#pragma once

#include "ServerFaults.h"
#include "StreamAnswer.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace laburnum::stream_soak {

using WallTime = std::chrono::system_clock::time_point;

/// A client's request for a stream and what came of it.
struct StreamTry {
  std::size_t Instance_ = 0;
  std::string AttemptId_;
  std::string Resumes_;
  std::uint64_t LastEventId_ = 0; ///< 0: the stream is to begin.
  StreamAnswer Answer_;
  bool IsUnsent_ = false; ///< There was no connection.
  WallTime BegunAt_{};
  WallTime EndedAt_{};
};

/// All tries of a client for one stream, and what they break of rule ORDER.
/// Events hold "VERSION START RUN" (VersionedFleet::Stop::Paced); versions of
/// different services begin with different letters.
class StreamHistory {
public:
  /// Length is the number of events of a complete stream.
  StreamHistory();
  explicit StreamHistory(std::uint64_t Length, ServerFaults const &Faults = {})
      : Length_(Length), Faults_(Faults) {}
  /// Adds a try; checks its events after those of the tries before.
  void add(StreamTry Try);
  /// The last event so far, or 0.
  std::uint64_t last() const { return Last_; }
  std::string const &firstAttempt() const { return FirstAttempt_; }
  std::size_t tries() const { return Tries_.size(); }
  std::vector<StreamTry> const &allTries() const { return Tries_; }
  std::set<std::string> const &violations() const { return Violations_; }
  /// The tries with their times, events and versions.
  std::string describe() const;

private:
  void check(StreamEvent const &Event, bool IsFirstOfTry);

  void checkGap(std::uint64_t Begin, std::uint64_t End, std::string const &Run,
                std::string const &Where);

  std::uint64_t Length_;
  ServerFaults Faults_;
  std::vector<StreamTry> Tries_;
  std::uint64_t Last_ = 0;
  std::string FirstAttempt_; ///< The one that brought the first event.
  std::string Version_;
  std::string Run_;
  std::set<std::string> Violations_;
};

} // namespace laburnum::stream_soak
