#include "Troubles.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace laburnum::stream_soak {

using entry_process::VersionedFleet;
using std::chrono::milliseconds;

std::map<std::string, TroubleKind> const &troubleKinds() {
  static std::map<std::string, TroubleKind> const Kinds = {
      {"breaks", TroubleKind::Breaks}, {"kills", TroubleKind::Kills},
      {"pauses", TroubleKind::Pauses}, {"restarts", TroubleKind::Restarts},
      {"silent", TroubleKind::Silent}, {"crashes", TroubleKind::Crashes},
      {"routes", TroubleKind::Routes}, {"rollouts", TroubleKind::Rollouts},
      {"slow", TroubleKind::Slow},     {"kept", TroubleKind::Kept},
      {"odd", TroubleKind::Odd},       {"outages", TroubleKind::Outages},
      {"closed", TroubleKind::Closed}, {"anew", TroubleKind::Anew},
      {"cuts", TroubleKind::Cuts},
  };
  return Kinds;
}

Troubles::Troubles(VersionedFleet &Fleet, std::uint64_t Seed,
                   std::set<TroubleKind> Kinds, std::filesystem::path Logs)
    : Fleet_(Fleet), Numbers_(Seed), Kinds_(std::move(Kinds)),
      Logs_(std::move(Logs)) {}

std::uint64_t Troubles::below(std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(Numbers_);
}

milliseconds Troubles::between(std::uint64_t Least, std::uint64_t Most) {
  return milliseconds(Least + below(Most - Least + 1));
}

void Troubles::say(std::string const &What) const {
  if (Logs_.empty())
    return;
  auto const Now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::ofstream(Logs_ / "troubles.log", std::ios::app)
      << Now.count() << ' ' << What << '\n';
}

void Troubles::addServers(std::uint64_t Seed) {
  if (plays(TroubleKind::Silent))
    Fleet_.setReports(VersionedFleet::ServerReports::None);
  if (plays(TroubleKind::Kept) || plays(TroubleKind::Odd))
    Fleet_.setFraming(plays(TroubleKind::Closed)
                          ? VersionedFleet::Framing::ByTurns
                          : VersionedFleet::Framing::Chunked);
  if (plays(TroubleKind::Odd))
    Fleet_.setOddities([Numbers = std::mt19937_64(Seed)]() mutable {
      using Oddity = VersionedFleet::Oddity;
      constexpr std::uint64_t Answers = 8; // Of which three are odd.
      auto const Drawn = Numbers() % Answers;
      return Drawn < 4 ? static_cast<Oddity>(Drawn) : Oddity::None;
    });
  if (plays(TroubleKind::Anew))
    Fleet_.setOddities([Numbers = std::mt19937_64(Seed)]() mutable {
      using Oddity = VersionedFleet::Oddity;
      return Numbers() % 2 == 0 ? Oddity::BeginsAnew : Oddity::None;
    });
  std::string const Second = Seed % 2 == 0 ? "v2" : "v1";
  Servers_ = {{"desk-1", "v1"},   {"desk-2", "v1"},    {"desk-3", Second},
              {"desk-4", Second}, {"archive-1", "w1"}, {"archive-2", "w1"}};
  for (auto const &[Id, Version] : Servers_)
    Fleet_.addServer(Id, Version, Version.front() == 'w' ? "archive" : "desk");
}

void Troubles::later(Duration Delay, std::function<void()> Task) {
  Tasks_.emplace(readClock() + Delay, std::move(Task));
}

void Troubles::repeat(Duration Least, Duration Most,
                      std::function<void()> Task) {
  auto const Delay =
      between(static_cast<std::uint64_t>(
                  std::chrono::duration_cast<milliseconds>(Least).count()),
              static_cast<std::uint64_t>(
                  std::chrono::duration_cast<milliseconds>(Most).count()));
  later(Delay, [this, Least, Most, Task] {
    if (readClock() > End_)
      return;
    Task();
    repeat(Least, Most, Task);
  });
}

void Troubles::play(Duration Length) {
  End_ = readClock() + Length;
  auto const Add = [&](std::initializer_list<TroubleKind> Any,
                       milliseconds Least, milliseconds Most,
                       void (Troubles::*Task)()) {
    for (auto const Kind : Any)
      if (plays(Kind))
        return repeat(Least, Most, [this, Task] { (this->*Task)(); });
  };
  Add({TroubleKind::Breaks, TroubleKind::Slow, TroubleKind::Kept,
       TroubleKind::Odd, TroubleKind::Anew},
      milliseconds(50), milliseconds(300), &Troubles::breakStreams);
  Add({TroubleKind::Kills}, milliseconds(300), milliseconds(1200),
      &Troubles::endInstance);
  Add({TroubleKind::Outages}, milliseconds(1500), milliseconds(4000),
      &Troubles::endAllInstances);
  Add({TroubleKind::Pauses}, milliseconds(300), milliseconds(1500),
      &Troubles::pauseInstance);
  Add({TroubleKind::Restarts, TroubleKind::Silent}, milliseconds(100),
      milliseconds(700), &Troubles::restartServer);
  Add({TroubleKind::Crashes, TroubleKind::Closed}, milliseconds(100),
      milliseconds(800), &Troubles::crashServer);
  Add({TroubleKind::Routes}, milliseconds(300), milliseconds(1500),
      &Troubles::moveRoute);
  Add({TroubleKind::Rollouts}, milliseconds(400), milliseconds(1200),
      &Troubles::rollOut);
  Add({TroubleKind::Cuts}, milliseconds(200), milliseconds(1500),
      &Troubles::cutOff);
  while (!Tasks_.empty()) {
    std::this_thread::sleep_until(Tasks_.begin()->first);
    auto const Task = std::move(Tasks_.begin()->second);
    Tasks_.erase(Tasks_.begin());
    Task();
  }
}

void Troubles::breakStreams() {
  auto const How = below(2) == 0 ? VersionedFleet::Break::InsideEvent
                                 : VersionedFleet::Break::Reset;
  Fleet_.breakPaced(How, [this] { return below(3) == 0; });
}

void Troubles::cutOff() {
  using Partition = VersionedFleet::Partition;
  auto const Number = below(Fleet_.instances());
  if (!BusyInstances_.insert(Number).second)
    return;
  auto const Links = static_cast<Partition>(
      1 + below(static_cast<std::uint64_t>(Partition::OthersOnly)));
  say("cut off " + std::to_string(Number + 1) + " as " +
      std::to_string(static_cast<int>(Links)));
  Fleet_.partition(Number, Links);
  later(between(100, 3000), [this, Number] {
    say("heal " + std::to_string(Number + 1));
    Fleet_.partition(Number, Partition::None);
    BusyInstances_.erase(Number);
  });
}

void Troubles::restart(std::size_t Instance) {
  saveLog(Instance);
  Fleet_.launch(Instance);
}

void Troubles::endInstance() {
  auto const Number = below(Fleet_.instances());
  if (!BusyInstances_.insert(Number).second)
    return;
  bool const IsKilled = below(3) > 0;
  say((IsKilled ? "kill " : "terminate ") + std::to_string(Number + 1));
  Fleet_.instance(Number).process().signal(IsKilled ? SIGKILL : SIGTERM);
  later(between(100, 1500), [this, Number] {
    say("start " + std::to_string(Number + 1));
    restart(Number);
    later(milliseconds(1000), [this, Number] { BusyInstances_.erase(Number); });
  });
}

void Troubles::endAllInstances() {
  if (!BusyInstances_.empty())
    return;
  say("kill all");
  for (std::size_t Number = 0; Number < Fleet_.instances(); ++Number) {
    BusyInstances_.insert(Number);
    Fleet_.instance(Number).process().signal(SIGKILL);
  }
  // What the instances can't see happen.
  if (plays(TroubleKind::Routes))
    moveRoute();
  if (plays(TroubleKind::Rollouts))
    rollOut();
  if (plays(TroubleKind::Restarts) || plays(TroubleKind::Silent))
    restartServer();
  later(between(100, 1000), [this] {
    say("start all");
    for (std::size_t Number = 0; Number < Fleet_.instances(); ++Number)
      restart(Number);
    later(milliseconds(1000), [this] { BusyInstances_.clear(); });
  });
}

void Troubles::pauseInstance() {
  auto const Number = below(Fleet_.instances());
  if (!BusyInstances_.insert(Number).second)
    return;
  say("pause " + std::to_string(Number + 1));
  Fleet_.instance(Number).process().signal(SIGSTOP);
  later(between(100, 2500), [this, Number] {
    say("continue " + std::to_string(Number + 1));
    Fleet_.instance(Number).process().signal(SIGCONT);
    BusyInstances_.erase(Number);
  });
}

std::string Troubles::chooseServer() {
  auto const At = std::next(
      Servers_.begin(), static_cast<std::ptrdiff_t>(below(Servers_.size())));
  return BusyServers_.contains(At->first) ? std::string() : At->first;
}

std::string Troubles::versionFor(std::string const &Server) {
  auto const &Old = Servers_.at(Server);
  // One in four comes back at the version that it had.
  if (below(4) == 0)
    return Old;
  return Old.front() + std::to_string(1 + below(3));
}

void Troubles::chooseProcessEnd() {
  using End = VersionedFleet::ProcessEnd;
  if (plays(TroubleKind::Closed))
    Fleet_.setProcessEnd(plays(TroubleKind::Crashes) && below(2) == 0
                             ? End::Resets
                             : End::Closes);
}

void Troubles::restartServer() {
  auto const Id = chooseServer();
  if (Id.empty())
    return;
  chooseProcessEnd();
  BusyServers_.insert(Id);
  auto const Version = versionFor(Id);
  say("restart " + Id + " from " + Servers_[Id] + " at " + Version);
  Servers_[Id] = Version;
  Fleet_.restartServer(Id, Version);
  later(between(0, 800), [this, Id] {
    say("list " + Id);
    Fleet_.listRestarted(Id);
    BusyServers_.erase(Id);
  });
}

void Troubles::crashServer() {
  auto const Id = chooseServer();
  if (Id.empty())
    return;
  chooseProcessEnd();
  BusyServers_.insert(Id);
  say("crash " + Id);
  Fleet_.crashServer(Id);
  later(between(50, 1000), [this, Id] {
    say("come back " + Id);
    Fleet_.restartServer(Id, Servers_[Id]);
    later(between(0, 800), [this, Id] {
      Fleet_.listRestarted(Id);
      BusyServers_.erase(Id);
    });
  });
}

void Troubles::moveRoute() {
  std::vector<std::vector<std::string>> const Choices = {
      {"desk"}, {"archive"}, {"desk", "archive"}, {"archive", "desk"}};
  auto const &Chosen = Choices[below(Choices.size())];
  say("route to " + Chosen.front() +
      (Chosen.size() > 1 ? " and " + Chosen.back() : ""));
  Fleet_.configureStreams(Chosen);
}

void Troubles::rollOut() {
  constexpr std::size_t FewestServers = 5;
  constexpr std::size_t MostServers = 9;
  if (Servers_.size() < MostServers) {
    auto const Id = "new-" + std::to_string(++LastServer_);
    auto const Version =
        "v" + std::to_string(below(3) == 0 ? ++LastVersion_ : LastVersion_);
    say("add " + Id + " at " + Version);
    Fleet_.addServer(Id, Version);
    Servers_[Id] = Version;
  }
  auto const Old = chooseServer();
  if (Old.empty() || Servers_[Old].front() == 'w' ||
      Servers_.size() - BusyServers_.size() < FewestServers)
    return;
  BusyServers_.insert(Old);
  say("drain " + Old);
  Fleet_.drainServer(Old);
  later(between(300, 1500), [this, Old] {
    say("remove " + Old);
    Fleet_.removeServer(Old);
    Servers_.erase(Old);
    BusyServers_.erase(Old);
  });
}

void Troubles::saveLog(std::size_t Instance) {
  if (Logs_.empty())
    return;
  std::ofstream File(Logs_ / ("edge-" + std::to_string(Instance + 1) + '-' +
                              std::to_string(++SavedLogs_[Instance]) + ".log"));
  for (auto const &Line : Fleet_.instance(Instance).process().lines())
    File << Line << '\n';
}

std::vector<std::string> Troubles::endedInstances() {
  std::vector<std::string> Ended;
  for (std::size_t Number = 0; Number < Fleet_.instances(); ++Number)
    if (auto &Process = Fleet_.instance(Number).process(); Process.hasEnded())
      Ended.push_back("instance " + std::to_string(Number + 1) +
                      " ended with status " +
                      std::to_string(Process.awaitEnd()));
  return Ended;
}

void Troubles::saveLogs() {
  for (std::size_t Number = 0; Number < Fleet_.instances(); ++Number)
    saveLog(Number);
}

} // namespace laburnum::stream_soak
