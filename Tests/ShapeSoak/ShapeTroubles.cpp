#include "ShapeTroubles.h"

#include <csignal>
#include <fstream>
#include <thread>

namespace laburnum::shape_soak {

namespace {

using entry_process::StoreMode;
using entry_process::StoreStandin;
using std::chrono::milliseconds;

/// Until the platform has noticed that an instance does not answer.
constexpr milliseconds NoticeTime{2000};

} // namespace

std::map<std::string, TroubleKind> const &troubleKinds() {
  static std::map<std::string, TroubleKind> const Kinds = {
      {"freeze", TroubleKind::Freeze},     {"kill", TroubleKind::Kill},
      {"ackkill", TroubleKind::AckKill},   {"replace", TroubleKind::Replace},
      {"slow", TroubleKind::Slow},         {"garble", TroubleKind::Garble},
      {"unframed", TroubleKind::Unframed}, {"lost", TroubleKind::Lost},
      {"crash", TroubleKind::Crash},       {"release", TroubleKind::Release},
      {"store", TroubleKind::Store},       {"outage", TroubleKind::Outage},
  };
  return Kinds;
}

ShapeTroubles::ShapeTroubles(ShapeFleet &Fleet, std::uint64_t Seed,
                             std::set<TroubleKind> Kinds,
                             std::filesystem::path Logs)
    : Fleet_(Fleet), Numbers_(Seed), Kinds_(std::move(Kinds)),
      Logs_(std::move(Logs)) {}

std::uint64_t ShapeTroubles::below(std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(Numbers_);
}

milliseconds ShapeTroubles::between(std::uint64_t Least, std::uint64_t Most) {
  return milliseconds(Least + below(Most - Least + 1));
}

void ShapeTroubles::say(std::string const &What) const {
  if (Logs_.empty())
    return;
  auto const Now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::ofstream(Logs_ / "troubles.log", std::ios::app)
      << Now.count() << ' ' << What << '\n';
}

void ShapeTroubles::later(Duration Delay, std::function<void()> Task) {
  Tasks_.emplace(readClock() + Delay, std::move(Task));
}

void ShapeTroubles::repeat(std::uint64_t Least, std::uint64_t Most,
                           std::function<void()> Task) {
  later(between(Least, Most), [this, Least, Most, Task] {
    if (readClock() > End_)
      return;
    Task();
    repeat(Least, Most, Task);
  });
}

void ShapeTroubles::addServers() {
  for (unsigned Each = 0; Each < Fleet_.shape().StreamServers_; ++Each)
    addServer("s" + std::to_string(++LastServer_), "desk");
  for (unsigned Each = 0; Each < Fleet_.shape().PlainServers_; ++Each)
    addServer("p" + std::to_string(++LastServer_), "plain");
  for (std::size_t Each = 0; Each < Fleet_.shape().Instances_; ++Each)
    Instances_.insert(Each);
}

void ShapeTroubles::addServer(std::string const &Id,
                              std::string const &Service) {
  std::vector<std::string> const Deadlines = {"closes", "finishes", "resets"};
  std::vector<std::string> Others = {
      "--deadline=" + Deadlines[below(Deadlines.size())],
      "--seed=" + std::to_string(below(1'000'000)), "--idle=5000"};
  std::string Framing = below(2) == 0 ? "chunked" : "length";
  bool const IsUnframed = plays(TroubleKind::Unframed) && below(2) == 0;
  if (IsUnframed) {
    Framing = "closes";
    Others.insert(Others.end(),
                  {"--faults=10", "--hows=inside-reset,after-reset"});
  }
  if (plays(TroubleKind::Garble) && !IsUnframed && below(2) == 0) {
    std::vector<std::string> const Framings = {"chunked", "length", "closes"};
    Framing = Framings[below(Framings.size())];
    Others.emplace_back("--faults=20");
  }
  if (plays(TroubleKind::Lost) && below(2) == 0)
    Others.emplace_back("--lost=30");
  auto Text = "add " + Id + ' ' + Framing;
  for (auto const &Other : Others)
    Text += ' ' + Other;
  say(Text);
  Fleet_.addServer(Id, Service, Framing, std::move(Others));
  Servers_[Id] = Service;
}

void ShapeTroubles::play(Duration Length) {
  End_ = readClock() + Length;
  auto const Add = [&](TroubleKind Kind, std::uint64_t Least,
                       std::uint64_t Most, void (ShapeTroubles::*Task)()) {
    if (plays(Kind))
      repeat(Least, Most, [this, Task] { (this->*Task)(); });
  };
  Add(TroubleKind::Freeze, 300, 2000, &ShapeTroubles::freezeInstance);
  Add(TroubleKind::Kill, 300, 1500, &ShapeTroubles::killInstance);
  Add(TroubleKind::AckKill, 500, 2000, &ShapeTroubles::changeAndKill);
  Add(TroubleKind::Replace, 800, 2500, &ShapeTroubles::replaceInstance);
  Add(TroubleKind::Slow, 300, 2000, &ShapeTroubles::slowServer);
  Add(TroubleKind::Crash, 300, 1500, &ShapeTroubles::crashServer);
  Add(TroubleKind::Release, 500, 2000, &ShapeTroubles::releaseServer);
  Add(TroubleKind::Store, 1000, 4000, &ShapeTroubles::breakStore);
  Add(TroubleKind::Outage, 2500, 6000, &ShapeTroubles::killAllInstances);
  later(Length, [] {});
  while (!Tasks_.empty()) {
    std::this_thread::sleep_until(Tasks_.begin()->first);
    auto const Task = std::move(Tasks_.begin()->second);
    Tasks_.erase(Tasks_.begin());
    Task();
  }
}

std::optional<std::size_t> ShapeTroubles::takeInstance() {
  auto const At =
      std::next(Instances_.begin(),
                static_cast<std::ptrdiff_t>(below(Instances_.size())));
  // Half of the instances go on.
  if (BusyInstances_.size() >= Instances_.size() / 2 ||
      !BusyInstances_.insert(*At).second)
    return std::nullopt;
  return *At;
}

void ShapeTroubles::freezeInstance() {
  auto const Taken = takeInstance();
  if (!Taken)
    return;
  auto const Instance = *Taken;
  say("freeze " + std::to_string(Instance + 1));
  Fleet_.signal(Instance, SIGSTOP);
  later(NoticeTime, [this, Instance] { Fleet_.rotation().remove(Instance); });
  later(between(4000, 7000), [this, Instance] {
    say("continue " + std::to_string(Instance + 1));
    Fleet_.goOn(Instance);
    Fleet_.rotation().add(Instance);
    BusyInstances_.erase(Instance);
  });
}

void ShapeTroubles::killAndStart(std::size_t Instance) {
  say("kill " + std::to_string(Instance + 1));
  Fleet_.signal(Instance, SIGKILL);
  later(between(100, 1500), [this, Instance] {
    say("start " + std::to_string(Instance + 1));
    Fleet_.launch(Instance);
    later(milliseconds(1000),
          [this, Instance] { BusyInstances_.erase(Instance); });
  });
}

void ShapeTroubles::killInstance() {
  if (auto const Taken = takeInstance())
    killAndStart(*Taken);
}

void ShapeTroubles::changeAndKill() {
  auto const Taken = takeInstance();
  if (!Taken)
    return;
  say("change the configuration");
  Fleet_.changeConfiguration();
  // Before and while instances learn of it.
  later(between(0, 50), [this, Instance = *Taken] { killAndStart(Instance); });
}

void ShapeTroubles::replaceInstance() {
  auto const Spare = Fleet_.takeSpare();
  if (Spare >= Fleet_.servers().instances())
    return;
  auto const Taken = takeInstance();
  if (!Taken)
    return;
  auto const Old = *Taken;
  say("start " + std::to_string(Spare + 1) + " for " + std::to_string(Old + 1));
  Fleet_.launch(Spare);
  later(milliseconds(1000), [this, Spare, Old] {
    say("terminate " + std::to_string(Old + 1));
    Instances_.insert(Spare);
    Fleet_.rotation().add(Spare);
    Fleet_.servers().instance(Old).process().signal(SIGTERM);
    later(NoticeTime, [this, Old] { Fleet_.rotation().remove(Old); });
    later(milliseconds(8000), [this, Old] {
      say("end " + std::to_string(Old + 1));
      Fleet_.signal(Old, SIGKILL);
      Instances_.erase(Old);
      BusyInstances_.erase(Old);
    });
  });
}

void ShapeTroubles::killAllInstances() {
  if (!BusyInstances_.empty())
    return;
  say("kill all");
  for (auto const Instance : Instances_) {
    BusyInstances_.insert(Instance);
    Fleet_.signal(Instance, SIGKILL);
  }
  later(between(100, 1500), [this] {
    say("start all");
    for (auto const Instance : Instances_)
      Fleet_.launch(Instance);
    later(milliseconds(1000), [this] { BusyInstances_.clear(); });
  });
}

std::string ShapeTroubles::takeServer() {
  auto const At = std::next(
      Servers_.begin(), static_cast<std::ptrdiff_t>(below(Servers_.size())));
  if (BusyServers_.size() >= Servers_.size() / 2 ||
      !BusyServers_.insert(At->first).second)
    return {};
  return At->first;
}

void ShapeTroubles::slowServer() {
  constexpr milliseconds SlowTime{6500};
  auto const Id = takeServer();
  if (Id.empty())
    return;
  say("slow " + Id);
  Fleet_.servers().process(Id).signal(SIGUSR1);
  later(SlowTime, [this, Id] {
    say("fast " + Id);
    Fleet_.servers().process(Id).signal(SIGUSR1);
    BusyServers_.erase(Id);
  });
}

void ShapeTroubles::crashServer() {
  constexpr milliseconds DarkTime{4500};
  auto const Id = takeServer();
  if (Id.empty())
    return;
  if (below(3) == 0) {
    say("dark " + Id);
    Fleet_.servers().process(Id).signal(SIGSTOP);
    later(DarkTime, [this, Id] {
      say("light " + Id);
      Fleet_.servers().process(Id).signal(SIGCONT);
      BusyServers_.erase(Id);
    });
    return;
  }
  say("crash " + Id);
  Fleet_.servers().process(Id).signal(SIGKILL);
  later(between(50, 2000), [this, Id] {
    say("come back " + Id);
    Fleet_.servers().restart(Id, "v1");
    later(between(0, 800), [this, Id] {
      Fleet_.servers().list(Id);
      BusyServers_.erase(Id);
    });
  });
}

void ShapeTroubles::releaseServer() {
  auto const Old = takeServer();
  if (Old.empty())
    return;
  auto const Service = Servers_.at(Old);
  addServer(Service.substr(0, 1) + "n" + std::to_string(++LastServer_),
            Service);
  later(between(100, 1000), [this, Old] {
    say("drain " + Old);
    Fleet_.servers().list(Old, "draining");
    later(between(200, 3000), [this, Old] {
      say("end " + Old);
      Fleet_.servers().process(Old).signal(SIGTERM);
      later(milliseconds(3000), [this, Old] {
        say("remove " + Old);
        Fleet_.servers().remove(Old);
        Servers_.erase(Old);
        BusyServers_.erase(Old);
      });
    });
  });
}

void ShapeTroubles::breakStore() {
  constexpr milliseconds BrokenTime{5000};
  if (std::exchange(IsStoreBroken_, true))
    return;
  bool const IsSilent = below(2) == 0;
  say(IsSilent ? "store is silent" : "store resets");
  Fleet_.servers().onStore([&](StoreStandin &Store) {
    Store.setMode(IsSilent ? StoreMode::Silent : StoreMode::Resets);
    return 0;
  });
  later(BrokenTime, [this] {
    say("store answers");
    Fleet_.servers().onStore([](StoreStandin &Store) {
      Store.setMode(StoreMode::Normal);
      return 0;
    });
    IsStoreBroken_ = false;
  });
}

std::vector<std::string> ShapeTroubles::endedInstances() {
  std::vector<std::string> Ended;
  for (auto const Instance : Instances_)
    if (auto &Process = Fleet_.servers().instance(Instance).process();
        Process.hasEnded())
      Ended.push_back("instance " + std::to_string(Instance + 1) +
                      " ended by itself");
  return Ended;
}

} // namespace laburnum::shape_soak
