#pragma once

#include <EntryProcess/VersionedFleet.h>

#include <LibCore/Time.h>

#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnum::stream_soak {

enum class TroubleKind {
  Breaks,   ///< Servers break streams off.
  Kills,    ///< Instances are killed or ended, and restarted.
  Pauses,   ///< Instances stand still.
  Restarts, ///< Servers come back at any version; the list says so later.
  Silent,   ///< The same with servers that don't report themselves.
  Crashes,  ///< Servers crash and come back later at the same version.
  Closed,   ///< The same, and their connections are closed, not reset.
  Routes,   ///< The streams' route moves to another service, or is split.
  Rollouts, ///< Servers of a new version join, and old ones drain.
  Slow,     ///< Streams break, and clients read slowly.
  Outages,  ///< All instances are killed; other kinds go on meanwhile.
  Kept,     ///< Streams break; servers keep connections, as some do elsewhere.
  Odd,      ///< The same, and servers repeat events and send extra answers.
  Anew,     ///< Streams break, and servers begin some anew that go on.
  Cuts,     ///< Instances lose the store, others, or one direction.
};

/// All kinds by name.
std::map<std::string, TroubleKind> const &troubleKinds();

/// Random troubles of some kinds, in a series for each kind; the series
/// overlap. Used on one thread.
class Troubles {
public:
  /// Logs is a folder for what the instances write, or empty.
  Troubles(entry_process::VersionedFleet &Fleet, std::uint64_t Seed,
           std::set<TroubleKind> Kinds, std::filesystem::path Logs);

  /// Starts the servers; half of the seeds give them two versions.
  void addServers(std::uint64_t Seed);
  /// Plays for this time and undoes what is still broken.
  void play(Duration Length);
  /// Writes what the running instances have logged.
  void saveLogs();
  /// Returns the instances that have ended although nothing ended them, with
  /// their exit statuses.
  std::vector<std::string> endedInstances();

private:
  bool plays(TroubleKind Kind) const { return Kinds_.contains(Kind); }
  std::uint64_t below(std::uint64_t End);
  std::chrono::milliseconds between(std::uint64_t Least, std::uint64_t Most);
  void later(Duration Delay, std::function<void()> Task);
  void repeat(Duration Least, Duration Most, std::function<void()> Task);
  void say(std::string const &What) const;

  void breakStreams();
  void cutOff();
  /// Starts an instance that has ended.
  void restart(std::size_t Instance);
  void endInstance();
  void endAllInstances();
  void pauseInstance();
  /// Decides how the connections of the next server end whose process ends.
  void chooseProcessEnd();
  void restartServer();
  void crashServer();
  void moveRoute();
  void rollOut();
  void saveLog(std::size_t Instance);
  /// Returns a server without another trouble, or nothing.
  std::string chooseServer();
  std::string versionFor(std::string const &Server);

  entry_process::VersionedFleet &Fleet_;
  std::mt19937_64 Numbers_;
  std::set<TroubleKind> const Kinds_;
  std::filesystem::path const Logs_;
  TimePoint End_{};
  std::multimap<TimePoint, std::function<void()>> Tasks_;
  std::set<std::size_t> BusyInstances_;
  std::map<std::string, std::string> Servers_; ///< Their versions.
  std::set<std::string> BusyServers_;
  unsigned LastServer_ = 0;
  unsigned LastVersion_ = 2;
  std::map<std::size_t, unsigned> SavedLogs_;
};

} // namespace laburnum::stream_soak
