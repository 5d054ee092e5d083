#pragma once

#include "StreamHistory.h"

#include <EntryProcess/VersionedFleet.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace laburnum::stream_soak {

/// What the clients saw in all.
struct Outcome {
  std::uint64_t Streams_ = 0;
  std::uint64_t Complete_ = 0;
  std::uint64_t TakenUp_ = 0; ///< Tries that take a stream up.
  std::uint64_t GoneOn_ = 0;  ///< Of these, answered with 200.
  std::uint64_t Refused_ = 0; ///< Of these, answered otherwise.
  std::uint64_t Violating_ = 0;
  std::map<std::string, std::uint64_t> Violations_;
};

/// Clients that begin streams at random instances, drop some and take up what
/// is not complete at random instances. Prints streams that break ORDER.
class StreamPlayer {
public:
  enum class Reading { Fast, Slow };

  StreamPlayer(entry_process::VersionedFleet &Fleet, std::uint64_t Seed,
               Reading Reading)
      : Fleet_(Fleet), Seed_(Seed), Reading_(Reading) {}
  ~StreamPlayer() { end(); }
  StreamPlayer(StreamPlayer const &) = delete;
  StreamPlayer &operator=(StreamPlayer const &) = delete;

  void begin(unsigned Clients);
  /// Waits until the clients have ended their streams.
  void end();
  Outcome outcome();

private:
  /// How a client names its tries.
  enum class Naming { OfEachTry, OneForAll, OneThatResumes };
  using Random = std::mt19937_64;

  void runClient(unsigned Client);
  void playStream(std::string const &Id, Random &Numbers);
  StreamTry request(StreamTry Try, Random &Numbers) const;
  void count(std::string const &Id, StreamHistory const &History,
             bool IsComplete);

  entry_process::VersionedFleet &Fleet_;
  std::uint64_t const Seed_;
  Reading const Reading_;
  std::atomic<bool> IsEnding_ = false;
  std::mutex Mutex_; ///< For the outcome and the output.
  Outcome Outcome_;
  std::vector<std::thread> Threads_;
};

} // namespace laburnum::stream_soak
