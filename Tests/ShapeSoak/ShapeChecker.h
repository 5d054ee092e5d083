#pragma once

#include <StreamSoak/ServerFaults.h>
#include <StreamSoak/StreamHistory.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace laburnum::shape_soak {

/// What the clients saw in all.
struct Outcome {
  std::uint64_t Streams_ = 0; ///< Of both kinds.
  std::uint64_t Complete_ = 0;
  std::uint64_t TakenUp_ = 0; ///< Tries that take a stream up.
  std::uint64_t GoneOn_ = 0;  ///< Of these, answered with 200.
  std::uint64_t Plain_ = 0;
  std::uint64_t PlainWhole_ = 0;
  /// Streams whose bytes can't be read as their server spoiled them.
  std::uint64_t Spoiled_ = 0;
  std::uint64_t Violating_ = 0;
};

/// Collects what clients saw, and checks it against what servers did.
class ShapeChecker {
public:
  void countTry(stream_soak::StreamTry const &Try);
  void addStream(std::string const &Path, std::uint64_t Length,
                 stream_soak::StreamHistory History, bool IsComplete);
  void addPlain(std::string const &Path, int Status, std::string const &Body,
                bool IsComplete);
  Outcome outcome();
  /// Prints the streams and answers that break a rule. Spoiled is what servers
  /// have written on their faults, Runs how often they ran requests that may
  /// run once. Returns the violations by kind.
  std::map<std::string, std::uint64_t>
  judge(std::vector<std::string> const &Spoiled,
        std::map<std::string, unsigned> const &Runs);

private:
  struct Suspect {
    std::string Path_;
    std::uint64_t Length_;
    std::vector<stream_soak::StreamTry> Tries_;
  };

  std::mutex Mutex_;
  Outcome Outcome_;
  std::vector<Suspect> Suspects_;
  std::vector<std::string> TornAnswers_;
};

} // namespace laburnum::shape_soak
