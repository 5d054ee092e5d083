#pragma once

#include "KeptConnections.h"
#include "ShapeChecker.h"
#include "ShapeFleet.h"

#include <LibCore/Time.h>

#include <atomic>
#include <list>
#include <memory>
#include <random>
#include <thread>

namespace laburnum::shape_soak {

/// Clients that arrive at the shape's rates. Each tries once more if its first
/// try fails and its route allows that.
class ShapePlayer {
public:
  enum class Patience {
    Steady, ///< Deadlines are those of the shape.
    Mixed   ///< Those of one in four are as long as their streams.
  };

  ShapePlayer(ShapeFleet &Fleet, std::uint64_t Seed, Patience Patience);
  ~ShapePlayer() { end(); }
  ShapePlayer(ShapePlayer const &) = delete;
  ShapePlayer &operator=(ShapePlayer const &) = delete;

  void begin();
  /// Lets no more clients arrive and waits for those that have.
  void end();
  ShapeChecker &checker() { return Checker_; }
  /// Clients that did not arrive, as too many were waiting.
  std::uint64_t skipped() const { return Skipped_; }
  /// Kept connections on which something came that nobody had asked for.
  std::uint64_t unasked() { return Kept_.unasked(); }

private:
  using Random = std::mt19937_64;
  using Keeps = ShapeClient::Keeps;
  using Play = void (ShapePlayer::*)(std::string const &, Random &);

  void arrive(double PerSecond, std::string Name, Play Play);
  std::chrono::milliseconds deadline(std::chrono::milliseconds Usual,
                                     std::chrono::microseconds Length,
                                     Random &Numbers) const;
  static std::uint64_t drawLength(std::uint64_t Mean, Random &Numbers);
  /// Sends a request on a new or on a kept connection.
  std::unique_ptr<ShapeClient> send(std::size_t Instance,
                                    std::string const &Path,
                                    entry_process::Fields const &Fields,
                                    std::size_t BodyBytes, Keeps Keeping);
  void playStream(std::string const &Id, Random &Numbers);
  void playOnce(std::string const &Id, Random &Numbers);
  void playPlain(std::string const &Id, Random &Numbers);
  stream_soak::StreamTry request(stream_soak::StreamTry Try,
                                 std::string const &Path, std::size_t BodyBytes,
                                 Keeps Keeping, TimePoint Deadline);

  ShapeFleet &Fleet_;
  std::uint64_t const Seed_;
  Patience const Patience_;
  ShapeChecker Checker_;
  KeptConnections Kept_;
  std::atomic<bool> IsEnding_ = false;
  std::atomic<unsigned> Waiting_ = 0;
  std::atomic<std::uint64_t> Skipped_ = 0;
  std::list<std::thread> Arrivals_;
};

} // namespace laburnum::shape_soak
