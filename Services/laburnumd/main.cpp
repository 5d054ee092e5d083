#include "Daemon.h"
#include "HeldPorts.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <thread>

using namespace laburnum;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

cxxopts::Options makeOptions() {
  cxxopts::Options Options("laburnumd",
                           "Serves callers' requests as an entry instance.");
  auto Add = Options.add_options();
  Add("settings", "INI file, see docs/SETTINGS.md",
      cxxopts::value<std::string>());
  Add("check-settings", "check the settings and exit: 0 if they are valid, 3 "
                        "with all problems listed if not");
  Add("help", "print this help");
  return Options;
}

/// The signals that request a stop. They are blocked in every thread and
/// received by sigwait().
sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void startLog(LogLevel Level) {
  google::InitGoogleLogging("laburnumd");
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(Level);
}

/// Returns the memory of large buffers to the system when they are freed. By
/// default glibc raises this threshold to the size of each large buffer that is
/// freed, and then every thread's arena keeps the freed bodies of its requests.
void returnLargeBuffers() {
  constexpr int ThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, ThresholdBytes);
}

int serve(DaemonSettings Settings) {
  returnLargeBuffers();
  auto const Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  startLog(Settings.Instance_.LogLevel_);
  if (awaitFreePorts({Settings.Callers_.Endpoint_,
                      Settings.Operators_.Endpoint_, Settings.Peers_.Endpoint_},
                     Signals) == PortWait::Stopped)
    return 0;
  auto Created = Daemon::create(std::move(Settings));
  if (isError(Created)) {
    std::cerr << "laburnumd: " << toString(errorOf(Created)) << '\n';
    return ExitStart;
  }
  auto const Running = takeValue(std::move(Created));
  std::thread([&Signals, &Running] {
    int Received = 0;
    sigwait(&Signals, &Received);
    Running->requestStop();
  }).detach();
  Running->run();
  return 0;
}

int runWith(cxxopts::Options &Options, int Count, char **Arguments) {
  auto const Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return 0;
  }
  if (!Parsed.count("settings")) {
    std::cerr << "laburnumd: no --settings FILE given; see --help\n";
    return ExitUsage;
  }
  auto Settings = DaemonSettings::load(Parsed["settings"].as<std::string>());
  if (isError(Settings)) {
    std::cerr << errorOf(Settings).Message_ << '\n'
              << errorOf(Settings).Remedy_ << '\n';
    return ExitSettings;
  }
  if (Parsed.count("check-settings")) {
    std::cout << "settings: ok\n";
    return 0;
  }
  return serve(takeValue(std::move(Settings)));
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = makeOptions();
  try {
    return runWith(Options, Count, Arguments);
  } catch (cxxopts::exceptions::exception const &Failure) {
    std::cerr << "laburnumd: " << Failure.what() << "; see --help\n";
    return ExitUsage;
  }
}
