#include <Soak/Run.h>

#include <cxxopts.hpp>

#include <iostream>

using namespace laburnum;

namespace {

int run(soak::RunSettings const &Settings) {
  soak::Run Run(Settings);
  auto const Findings = Run.run();
  std::cout << "seed " << Settings.Seed_ << ": " << Run.schedule().size()
            << " faults, " << Run.oracle().answered() << " of "
            << Run.oracle().requests() << " requests answered, "
            << Findings.size() << " findings\n";
  if (Findings.empty())
    return 0;
  for (auto const &One : Run.schedule())
    std::cout << "fault: " << describe(One) << '\n';
  for (auto const &One : Findings)
    std::cout << "finding: " << One << '\n';
  return 1;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("soak", "Injects faults into real laburnum-entry "
                                   "processes and checks the outcomes of "
                                   "requests");
  auto Add = Options.add_options();
  Add("seed", "seed of the fault schedule",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seconds", "duration of the traffic; the last 12 s without faults",
      cxxopts::value<unsigned>()->default_value("60"));
  Add("instances", "laburnum-entry processes",
      cxxopts::value<unsigned>()->default_value("8"));
  Add("servers", "backend servers",
      cxxopts::value<unsigned>()->default_value("8"));
  Add("help", "print this");
  try {
    auto const Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    return run({Parsed["seed"].as<std::uint64_t>(),
                std::chrono::seconds(Parsed["seconds"].as<unsigned>()),
                Parsed["instances"].as<unsigned>(),
                Parsed["servers"].as<unsigned>()});
  } catch (std::exception const &Failure) {
    std::cerr << "soak: " << Failure.what() << '\n';
    return 2;
  }
}
