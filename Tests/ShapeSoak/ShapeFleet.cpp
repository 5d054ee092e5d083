#include "ShapeFleet.h"

#include <EntryProcess/StandinRecords.h>

#include <csignal>
#include <fstream>

namespace laburnum::shape_soak {

namespace {

/// Each planned replacement takes one.
constexpr unsigned Spares = 16;

} // namespace

ShapeFleet::ShapeFleet(Shape const &Played, std::filesystem::path Logs)
    : Shape_(Played), Logs_(std::move(Logs)),
      Servers_(Played.Instances_ + Spares, Played.Program_),
      Quota_(Played.Share_) {
  Servers_.configure(configuration());
}

ShapeFleet::~ShapeFleet() {
  for (auto const Instance : Started_)
    Quota_.remove(Servers_.instance(Instance).process().id());
}

nlohmann::json ShapeFleet::configuration() const {
  auto Configuration = entry_process::configurationJson(1);
  Configuration["version"] = Version_;
  Configuration["services"].push_back({{"name", "plain"}});
  auto &Routes = Configuration["routes"];
  for (auto &Route : Routes) {
    if (!Route.contains("stream_resume")) {
      Route["service"] = "plain";
      Route["priority"] = 2;
      continue;
    }
    Route["timeout_ms"] = Shape_.StreamDeadline_.count();
    Route["target_latency_ms"] = 1000;
    Route["gap_target_ms"] = 300;
    Route["priority"] = 0;
  }
  auto Once = Routes.back();
  Once["name"] = Once["path_prefix"] = "/once/";
  Once["stream_resume"] = false;
  Once["max_attempts"] = 1;
  Once["priority"] = 1;
  Once["timeout_ms"] = Shape_.OnceDeadline_.count();
  Routes.push_back(std::move(Once));
  return Configuration;
}

void ShapeFleet::changeConfiguration() {
  ++Version_;
  Servers_.configure(configuration());
}

void ShapeFleet::addServer(std::string const &Id, std::string const &Service,
                           std::string const &Framing,
                           std::vector<std::string> Others) {
  constexpr std::uint64_t SlownessTenths = 75;
  entry_process::StreamServers::Settings Chosen;
  Chosen.Framing_ = Framing;
  Chosen.Service_ = Service;
  Chosen.Others_ = std::move(Others);
  for (auto const &Other :
       {"--events=" + std::to_string(Shape_.Events_),
        "--once-events=" + std::to_string(Shape_.OnceEvents_),
        "--gap=" + std::to_string(Shape_.Gap_.count()),
        "--slowness=" + std::to_string(SlownessTenths)})
    Chosen.Others_.push_back(Other);
  Servers_.add(Id, std::move(Chosen));
}

void ShapeFleet::startInstances() {
  for (std::size_t Instance = 0; Instance < Shape_.Instances_; ++Instance) {
    Servers_.instance(Instance).start();
    Started_.insert(Instance);
  }
  for (std::size_t Instance = 0; Instance < Shape_.Instances_; ++Instance) {
    auto &Process = Servers_.instance(Instance).process();
    if (Shape_.Instances_ > 1)
      Process.awaitLine("fleet_changed live=" +
                        std::to_string(Shape_.Instances_));
    Quota_.add(Process.id());
    Rotation_.add(Instance);
  }
}

std::size_t ShapeFleet::takeSpare() {
  return Started_.empty() || *Started_.rbegin() + 1 >= Servers_.instances()
             ? Servers_.instances()
             : *Started_.rbegin() + 1;
}

void ShapeFleet::launch(std::size_t Instance) {
  if (!Started_.insert(Instance).second)
    saveLog(Instance);
  Servers_.instance(Instance).launch();
  Quota_.add(Servers_.instance(Instance).process().id());
}

void ShapeFleet::signal(std::size_t Instance, int Number) {
  auto const &Process = Servers_.instance(Instance).process();
  Quota_.remove(Process.id());
  Process.signal(Number);
}

void ShapeFleet::goOn(std::size_t Instance) {
  auto const &Process = Servers_.instance(Instance).process();
  Process.signal(SIGCONT);
  Quota_.add(Process.id());
}

void ShapeFleet::saveLog(std::size_t Instance) {
  if (Logs_.empty())
    return;
  std::ofstream File(Logs_ / ("edge-" + std::to_string(Instance + 1) + '-' +
                              std::to_string(++SavedLogs_[Instance]) + ".log"));
  for (auto const &Line : Servers_.instance(Instance).process().lines())
    File << Line << '\n';
}

void ShapeFleet::saveLogs() {
  for (auto const Instance : Started_)
    saveLog(Instance);
  if (Logs_.empty())
    return;
  std::ofstream File(Logs_ / "servers.log");
  for (auto const &Line : Servers_.lines(""))
    File << Line << '\n';
}

} // namespace laburnum::shape_soak
