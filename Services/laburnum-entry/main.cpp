#include "ControlPlane.h"

#include <ConfigurationRecord.h>
#include <FencedPlatformClient.h>
#include <HeaderCodec.h>
#include <NodeFile.h>
#include <ObjectClient.h>
#include <RolloutRecord.h>

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>
#include <unistd.h>

using namespace laburnum;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

/// Servers that one content may crash before it is refused. The platform allows
/// 3.
constexpr std::size_t MaxCrashesPerContent = 3;

/// Environment variable with the path of the settings file, used without
/// --settings.
constexpr char const *SettingsVariable = "LABURNUMPOND_NODE_FILE";

cxxopts::Options makeOptions() {
  cxxopts::Options Options("laburnum-entry",
                           "An entry instance on the users' platform.");
  auto Add = Options.add_options();
  Add("settings",
      std::string("settings file; default: the file that ") + SettingsVariable +
          " names",
      cxxopts::value<std::string>());
  Add("check-settings", "check the settings and exit: 0 when they are right, 3 "
                        "with every problem listed when they are not");
  Add("help", "print this");
  return Options;
}

class PlatformRecordCodec : public RecordCodec {
public:
  std::string configurationCollection() const override {
    return platform::ConfigurationCollection;
  }
  std::string serverCollection() const override {
    return platform::ServerCollection;
  }
  Result<std::shared_ptr<RouteTable const>>
  decodeConfiguration(StoredObject const &Object) const override {
    if (Object.Key_.Name_ != platform::ConfigurationName)
      return std::shared_ptr<RouteTable const>();
    return platform::decodeConfiguration(Object.Value_);
  }
  std::string rolloutCollection() const override {
    return platform::RolloutCollection;
  }
  std::variant<RolloutOrder, std::string>
  decodeRollout(StoredObject const &Object) const override {
    return platform::decodeRollout(Object.Key_.Name_, Object.Value_);
  }
  std::string encodeRolloutStatus(std::string const &Target,
                                  RolloutStage Stage) const override {
    return platform::encodeRolloutStatus(Target, Stage);
  }
  std::optional<ServerRecord>
  decodeServer(StoredObject const &Object) const override {
    return platform::decodeServer(Object.Key_.Name_, Object.Value_);
  }
};

int serve(EntrySettings const &Settings, std::string const &Path) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLog Log(STDOUT_FILENO, Settings.Name_);
  Log.write(LogLine("start").add("data_centre", Settings.DataCentre_.text()));
  asio::io_context ControlContext(1);
  asio::io_context TrafficContext(1);
  platform::HeaderCodec const Codec;
  platform::ObjectClient Store(ControlContext, Settings.Store_);
  platform::FencedPlatformClient PlatformApi(ControlContext,
                                             Settings.CloudApi_);
  PlatformRecordCodec const RecordCodec;
  UsageCounter Usage(Settings.UsageWindow_);
  MedianClock Clock;
  EntryMetrics Metrics;
  std::random_device Entropy;
  CrashGuard Guard(Entropy(), {MaxCrashesPerContent});
  TrafficPlane Traffic(
      {TrafficContext, Settings, Codec, Usage, Clock, Log, Metrics, Guard},
      Entropy());
  ControlPlane Control({ControlContext, TrafficContext, Settings, Store,
                        PlatformApi, RecordCodec, Usage, Clock, Traffic, Log,
                        Metrics, Guard,
                        [&Path] { return platform::loadNodeFile(Path); }},
                       Entropy());
  auto Started = Traffic.listen();
  if (!isError(Started))
    Started = Control.start();
  if (isError(Started)) {
    Log.write(LogLine("start_failed").add("why", toString(errorOf(Started))));
    Log.flush();
    std::cerr << "laburnum-entry: " << toString(errorOf(Started)) << '\n';
    return ExitStart;
  }
  auto const Work = asio::make_work_guard(TrafficContext);
  std::thread TrafficThread([&TrafficContext] { TrafficContext.run(); });
  ControlContext.run();
  TrafficThread.join();
  return 0;
}

int runWith(cxxopts::Options &Options, int Count, char **Arguments) {
  auto const Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return 0;
  }
  char const *const Named = std::getenv(SettingsVariable);
  std::string const Path = Parsed.count("settings")
                               ? Parsed["settings"].as<std::string>()
                               : std::string(Named ? Named : "");
  if (Path.empty()) {
    std::cerr << "laburnum-entry: no --settings FILE given and "
              << SettingsVariable << " is not set; see --help\n";
    return ExitUsage;
  }
  auto const Settings = platform::loadNodeFile(Path);
  if (isError(Settings)) {
    std::cerr << errorOf(Settings).Message_ << '\n'
              << errorOf(Settings).Remedy_ << '\n';
    return ExitSettings;
  }
  if (Parsed.count("check-settings"))
    return 0;
  return serve(valueOf(Settings), Path);
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = makeOptions();
  try {
    return runWith(Options, Count, Arguments);
  } catch (cxxopts::exceptions::exception const &Wrong) {
    std::cerr << "laburnum-entry: " << Wrong.what() << "; see --help\n";
    return ExitUsage;
  }
}
