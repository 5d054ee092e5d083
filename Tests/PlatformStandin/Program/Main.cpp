#include <PlatformStandin/PlatformStandin.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace laburnum;

namespace {

cxxopts::Options commandLine() {
  cxxopts::Options Line("platform-standin", "A platform in memory, for tests");
  auto Add = Line.add_options();
  Add("host", "address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  Add("port", "port to listen on; 0 selects any free port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  Add("writes-per-second", "rate limit of writes; 0 for no limit",
      cxxopts::value<double>()->default_value("0"));
  Add("reads-per-second", "rate limit of reads and watches; 0 for no limit",
      cxxopts::value<double>()->default_value("0"));
  Add("weights-per-second", "rate limit of the weight store; 0 for no limit",
      cxxopts::value<double>()->default_value("0"));
  Add("list-lag-ms", "age of the instance list",
      cxxopts::value<std::uint32_t>()->default_value("0"));
  Add("threads", "maximum number of simultaneous connections",
      cxxopts::value<std::size_t>()->default_value("64"));
  return Line;
}

StandinOptions optionsOf(cxxopts::ParseResult const &Parsed) {
  StandinOptions Options;
  Options.Host_ = Parsed["host"].as<std::string>();
  Options.Port_ = Parsed["port"].as<std::uint16_t>();
  Options.WritesPerSecond_ = Parsed["writes-per-second"].as<double>();
  Options.ReadsPerSecond_ = Parsed["reads-per-second"].as<double>();
  Options.WeightsPerSecond_ = Parsed["weights-per-second"].as<double>();
  Options.ListLag_ =
      std::chrono::milliseconds(Parsed["list-lag-ms"].as<std::uint32_t>());
  Options.Threads_ = Parsed["threads"].as<std::size_t>();
  Options.OnWrite_ = [](std::string const &What) {
    std::cout << What + '\n' << std::flush;
  };
  return Options;
}

/// Blocks the termination signals in this thread and the threads it starts, so
/// that run() can wait for them.
sigset_t blockTerminationSignals() {
  sigset_t TerminationSignals;
  sigemptyset(&TerminationSignals);
  sigaddset(&TerminationSignals, SIGTERM);
  sigaddset(&TerminationSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &TerminationSignals, nullptr);
  return TerminationSignals;
}

int run(StandinOptions const &Options) {
  auto const TerminationSignals = blockTerminationSignals();
  auto const Standin = PlatformStandin::start(Options);
  if (!Standin) {
    std::cerr << "cannot listen on " << Options.Host_ << ":" << Options.Port_
              << "; choose another port\n";
    return EXIT_FAILURE;
  }
  std::cout << "listening on " << Options.Host_ << ":" << Standin->port()
            << std::endl;
  auto Signal = 0;
  sigwait(&TerminationSignals, &Signal);
  return EXIT_SUCCESS;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    auto Line = commandLine();
    return run(optionsOf(Line.parse(ArgumentCount, Arguments)));
  } catch (std::exception const &Failure) {
    std::cerr << Failure.what() << "\n" << commandLine().help();
    return EXIT_FAILURE;
  }
}
