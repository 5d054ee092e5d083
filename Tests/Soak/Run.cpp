#include "Run.h"

#include <EntryProcess/StandinRecords.h>

#include <httplib.h>

#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace laburnum::soak {

using namespace entry_process;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Downtime{1500};
constexpr milliseconds Work{20};
constexpr milliseconds BetweenCalls{10};
constexpr unsigned CallersOfInstance = 3;
/// A planned stop takes at most this long; bounds.grace_s of the settings.
constexpr seconds StopTimeout{8};
/// Time that an instance needs to recover after a start or a freeze.
constexpr seconds RecoveryTime{4};
/// Read timeout of the callers.
constexpr seconds CallTimeout{6};
/// The limit on the users' machines: 260 MB.
constexpr std::size_t MaxMemoryKilobytes = 266240;
constexpr std::size_t MaxDescriptors = 4100;

/// How many routes each third configuration has besides the usual ones.
constexpr std::size_t ManyRoutes = 1400;

nlohmann::json configurationOf(std::uint64_t Version) {
  auto Configuration = configurationJson(Version);
  if (Version % 3 == 0)
    for (std::size_t Number = 0; Number < ManyRoutes; ++Number) {
      auto Route = Configuration["routes"].front();
      Route["name"] = "r" + std::to_string(Number);
      Route["path_prefix"] = "/many" + std::to_string(Number) + "/";
      Configuration["routes"].push_back(std::move(Route));
    }
  return Configuration;
}

/// A number from /proc/PID/status; 0 if the process no longer exists.
std::size_t statusOf(pid_t Process, std::string const &Label) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Label + ':'))
      return std::stoul(Line.substr(Label.size() + 1));
  return 0;
}

std::size_t descriptorsOf(pid_t Process) {
  std::error_code Failure;
  std::filesystem::directory_iterator const Open(
      "/proc/" + std::to_string(Process) + "/fd", Failure);
  return Failure
             ? 0
             : static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

} // namespace

Run::Run(RunSettings Settings)
    : Settings_(Settings),
      Schedule_(makeSchedule(Settings.Seed_, Settings.Length_,
                             Settings.Instances_, Settings.Servers_)),
      Fleet_(Settings.Instances_, Settings.Servers_, {Downtime, Work}),
      FaultMutexes_(Settings.Instances_) {
  Fleet_.setRunListener([this](std::string const &AttemptId, unsigned Server) {
    Oracle_.onRun(AttemptId, Server, readClock());
  });
}

template <typename Function> void Run::runOnThread(Function Task) {
  Threads_.emplace_back(std::move(Task));
}

std::vector<std::string> Run::run() {
  auto const Begin = readClock();
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < Settings_.Instances_; ++Index)
    for (unsigned Caller = 0; Caller < CallersOfInstance; ++Caller)
      Callers.emplace_back([this, Index] { call(Index); });
  for (auto const &One : Schedule_) {
    std::this_thread::sleep_until(Begin + One.At_);
    inject(One);
  }
  for (auto &One : Threads_)
    One.join();
  std::this_thread::sleep_until(Begin + Settings_.Length_);
  checkProcesses();
  IsFinished_ = true;
  for (auto &One : Callers)
    One.join();
  return Oracle_.findings(Begin + Settings_.Length_ - RecoveryTime);
}

void Run::call(std::size_t Instance) {
  httplib::Client Client(Fleet_.instance(Instance).address(),
                         EntryProcess::TrafficPort);
  Client.set_keep_alive(true);
  Client.set_read_timeout(CallTimeout);
  while (!IsFinished_) {
    auto const Number = NextAttempt_++;
    CallerOutcome Outcome;
    Outcome.AttemptId_ = "soak-" + std::to_string(Number);
    Outcome.Kind_ =
        Number % 2 == 0 ? RequestKind::Repeatable : RequestKind::Once;
    Outcome.Instance_ = Instance;
    Outcome.Sent_ = readClock();
    httplib::Request Request;
    Request.method = Outcome.Kind_ == RequestKind::Once ? "POST" : "GET";
    Request.path = (Outcome.Kind_ == RequestKind::Once ? "/order/" : "/read/") +
                   std::to_string(Number);
    Request.headers = {{"Host", "desk.example"},
                       {"X-Attempt-Id", Outcome.AttemptId_},
                       {"X-Deadline-Ms", "2000"},
                       {"X-Key", "k1"}};
    if (auto const Answer = Client.send(Request)) {
      Outcome.Status_ = Answer->status;
      Outcome.Body_ = Answer->body;
    }
    Outcome.Ended_ = readClock();
    Oracle_.onOutcome(Outcome);
    std::this_thread::sleep_for(BetweenCalls);
  }
}

void Run::inject(Fault const &One) {
  switch (One.Kind_) {
  case FaultKind::KillInstance:
    return runOnThread([this, One] { killInstance(One); });
  case FaultKind::StopInstance:
    return runOnThread([this, One] { stopInstance(One); });
  case FaultKind::FreezeInstance:
    return runOnThread([this, One] { freezeInstance(One); });
  case FaultKind::EndServer:
    return endServer(One.Target_);
  case FaultKind::LimitServer:
    return limitServer(One);
  case FaultKind::StoreSilent:
    return degradeStore(StoreMode::Silent, One.Length_);
  case FaultKind::StoreBusy:
    return degradeStore(StoreMode::Busy, One.Length_);
  case FaultKind::StoreLosesWrites:
    return degradeStore(StoreMode::LosesWrites, One.Length_);
  case FaultKind::StoreLosesHistory:
    return Fleet_.onStore([](StoreStandin &Store) { Store.dropHistory(); });
  case FaultKind::ChangeConfiguration:
    return Fleet_.onStore([this](StoreStandin &Store) {
      Store.put("config", "main", configurationOf(++ConfigurationVersion_));
    });
  }
}

void Run::killInstance(Fault const &One) {
  std::lock_guard const Lock(FaultMutexes_[One.Target_]);
  auto const From = readClock();
  Fleet_.instance(One.Target_).kill();
  std::this_thread::sleep_for(One.Length_);
  Fleet_.instance(One.Target_).launch();
  Oracle_.onOutage({One.Target_, From, readClock() + RecoveryTime});
}

void Run::stopInstance(Fault const &One) {
  std::lock_guard const Lock(FaultMutexes_[One.Target_]);
  auto const From = readClock();
  Fleet_.instance(One.Target_).process().signal(SIGTERM);
  auto const Status = Fleet_.instance(One.Target_).process().awaitEnd();
  auto const Ended = readClock();
  // Before the process listens, SIGTERM ends it at once.
  bool const HadBegun =
      Fleet_.instance(One.Target_).process().hasWritten("event=start");
  if (Status != 0 && (HadBegun || Status != -SIGTERM))
    Oracle_.onFinding("instance " + std::to_string(One.Target_) +
                      " exited from its planned stop with status " +
                      std::to_string(Status));
  if (Ended - From > StopTimeout)
    Oracle_.onFinding("instance " + std::to_string(One.Target_) +
                      " exceeded the time of its planned stop");
  // The outage begins at the exit: requests before it must be answered.
  Fleet_.instance(One.Target_).launch();
  Oracle_.onOutage({One.Target_, Ended, readClock() + RecoveryTime});
}

void Run::freezeInstance(Fault const &One) {
  std::lock_guard const Lock(FaultMutexes_[One.Target_]);
  auto const From = readClock();
  Fleet_.instance(One.Target_).process().signal(SIGSTOP);
  std::this_thread::sleep_for(One.Length_);
  Fleet_.instance(One.Target_).process().signal(SIGCONT);
  Oracle_.onOutage({One.Target_, From, readClock() + RecoveryTime});
}

void Run::limitServer(Fault const &One) {
  auto const Server = static_cast<unsigned>(One.Target_);
  auto const Text = rateLimitOf(One);
  double Rate = 0.0;
  auto const Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Rate);
  // An unreadable limit leaves the one before in force.
  if (Parsed.ec == std::errc())
    Oracle_.onRateLimit(Server, Rate, readClock());
  Fleet_.setRateLimitFor(Server, Text, One.Length_, [this, Server] {
    Oracle_.onRateLimit(Server, std::nullopt, readClock());
  });
}

void Run::endServer(std::size_t Number) {
  Oracle_.onRateLimit(static_cast<unsigned>(Number), std::nullopt, readClock());
  Fleet_.crashServer(Number);
}

void Run::degradeStore(StoreMode Mood, Duration Length) {
  Fleet_.onStore([Mood](StoreStandin &Store) { Store.setMode(Mood); });
  runOnThread([this, Length] {
    std::this_thread::sleep_for(Length);
    Fleet_.onStore(
        [](StoreStandin &Store) { Store.setMode(StoreMode::Normal); });
  });
}

void Run::checkProcesses() {
  for (std::size_t Index = 0; Index < Settings_.Instances_; ++Index) {
    auto const Process = Fleet_.instance(Index).process().id();
    auto const Name = "instance " + std::to_string(Index);
    auto const Memory = statusOf(Process, "VmRSS");
    if (Memory == 0)
      Oracle_.onFinding(Name + " exited unexpectedly");
    if (Memory > MaxMemoryKilobytes)
      Oracle_.onFinding(Name + " uses " + std::to_string(Memory) + " kB");
    if (auto const Open = descriptorsOf(Process); Open > MaxDescriptors)
      Oracle_.onFinding(Name + " has " + std::to_string(Open) +
                        " descriptors open");
  }
}

} // namespace laburnum::soak
