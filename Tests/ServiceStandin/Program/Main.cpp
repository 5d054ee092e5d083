#include <ServiceStandin/ServiceServer.h>

#include <cxxopts.hpp>
#include <iostream>

using namespace laburnum;

static cxxopts::Options options() {
  cxxopts::Options Options("service-standin",
                           "Simulates a plain service in tests.");
  auto Add = Options.add_options();
  Add("port", "port to listen on, 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  Add("threads", "connections served at once",
      cxxopts::value<std::uint32_t>()->default_value("64"));
  Add("help", "print this");
  return Options;
}

static int run(cxxopts::ParseResult const &Parsed) {
  blockTerminationSignals();
  ServiceServer Server(Parsed["threads"].as<std::uint32_t>());
  Server.onRun([] { std::cout << "run\n" << std::flush; });
  auto const Port = Server.start(Parsed["port"].as<std::uint16_t>());
  if (Port == 0) {
    std::cerr << "service-standin: cannot listen; choose another --port\n";
    return 1;
  }
  serveUntilTermination(Port);
  Server.stop();
  return 0;
}

int main(int Count, char **Arguments) {
  auto Options = options();
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") == 0)
      return run(Parsed);
    std::cout << Options.help();
    return 0;
  } catch (std::exception const &Failure) {
    std::cerr << "service-standin: " << Failure.what() << "; see --help\n";
    return 2;
  }
}
