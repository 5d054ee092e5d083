#pragma once

#include "ShapeFleet.h"

#include <LibCore/Time.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum::shape_soak {

enum class TroubleKind {
  Freeze,   ///< Instances stand still, some across deadlines.
  Kill,     ///< Instances are killed and started again.
  AckKill,  ///< The same, right after a change of the configuration.
  Replace,  ///< Another instance starts before one is told to end.
  Slow,     ///< Servers work several times as slowly for a while.
  Garble,   ///< Half of the servers break off or spoil some answers.
  Unframed, ///< Answers without a length; some are broken off by a reset.
  Lost,     ///< Some answers never come, or their connection is closed.
  Crash,    ///< Servers are killed and started again, or stand still.
  Release,  ///< New servers start, old ones drain and end.
  Store,    ///< The store resets or is silent.
  Outage,   ///< All instances are killed at once and started again.
};

/// All kinds by name.
std::map<std::string, TroubleKind> const &troubleKinds();

/// Random troubles of some kinds, in a series for each kind; the series
/// overlap. Used on one thread.
class ShapeTroubles {
public:
  ShapeTroubles(ShapeFleet &Fleet, std::uint64_t Seed,
                std::set<TroubleKind> Kinds, std::filesystem::path Logs);

  void addServers();
  /// Plays for this time and undoes what is still broken.
  void play(Duration Length);
  /// Returns the instances that have ended although nothing ended them.
  std::vector<std::string> endedInstances();

private:
  bool plays(TroubleKind Kind) const { return Kinds_.contains(Kind); }
  std::uint64_t below(std::uint64_t End);
  std::chrono::milliseconds between(std::uint64_t Least, std::uint64_t Most);
  void later(Duration Delay, std::function<void()> Task);
  void repeat(std::uint64_t Least, std::uint64_t Most,
              std::function<void()> Task);
  void say(std::string const &What) const;

  void addServer(std::string const &Id, std::string const &Service);
  /// Draws an instance without another trouble and marks it, or returns none.
  std::optional<std::size_t> takeInstance();
  void freezeInstance();
  void killInstance();
  void killAndStart(std::size_t Instance);
  void changeAndKill();
  void replaceInstance();
  void killAllInstances();
  /// Draws a server without another trouble and marks it, or returns none.
  std::string takeServer();
  void slowServer();
  void crashServer();
  void releaseServer();
  void breakStore();

  ShapeFleet &Fleet_;
  std::mt19937_64 Numbers_;
  std::set<TroubleKind> const Kinds_;
  std::filesystem::path const Logs_;
  TimePoint End_{};
  std::multimap<TimePoint, std::function<void()>> Tasks_;
  std::set<std::size_t> Instances_; ///< Those that are to run.
  std::set<std::size_t> BusyInstances_;
  std::map<std::string, std::string> Servers_; ///< Their services.
  std::set<std::string> BusyServers_;
  bool IsStoreBroken_ = false;
  unsigned LastServer_ = 0;
};

} // namespace laburnum::shape_soak
