#include "Commands.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <chrono>
#include <cstdint>
#include <iostream>

using namespace laburnum::faults;

namespace {

/// Cases of one call of RapidCheck, and the maximum length of a case.
constexpr int CasesPerBatch = 20;
constexpr int MaxCaseLength = 200;

struct Budget {
  std::uint64_t Steps_ = 0;   ///< 0: no limit.
  std::uint64_t Seconds_ = 0; ///< 0: no limit.
};

/// Runs one batch and returns whether all cases passed.
bool runBatch(std::uint64_t Seed, ModelState const &Initial,
              Mutants const &ActiveMutants, std::uint64_t &Steps) {
  rc::detail::TestMetadata Metadata;
  Metadata.id = "promises";
  Metadata.description = "the guarantees hold, seed " + std::to_string(Seed);
  rc::detail::TestParams Parameters;
  Parameters.seed = Seed;
  Parameters.maxSuccess = CasesPerBatch;
  Parameters.maxSize = MaxCaseLength;
  auto const Property = [&] {
    World Simulation(*rc::gen::inRange<std::uint64_t>(1, 1000), ActiveMutants);
    SystemUnderTest Target{Simulation, Steps};
    rc::state::check(Initial, Target, anyCommand);
    Simulation.settle(UnknownOutcome::Allowed);
    if (!Simulation.oracle().violations().empty())
      RC_FAIL(Simulation.oracle().violations().front());
  };
  auto const Result = rc::detail::checkTestable(Property, Metadata, Parameters);
  bool const IsGood = Result.is<rc::detail::SuccessResult>();
  if (!IsGood) {
    rc::detail::printResultMessage(Result, std::cout);
    std::cout << "\n";
  }
  return IsGood;
}

int fuzz(std::uint64_t Seed, Budget const &Limit, ModelState const &Initial,
         Mutants const &ActiveMutants) {
  auto const Start = std::chrono::steady_clock::now();
  std::uint64_t Steps = 0;
  auto const IsSpent = [&] {
    auto const Spent = std::chrono::steady_clock::now() - Start;
    return (Limit.Steps_ > 0 && Steps >= Limit.Steps_) ||
           (Limit.Seconds_ > 0 &&
            Spent >= std::chrono::seconds(Limit.Seconds_));
  };
  for (auto Batch = Seed; !IsSpent(); ++Batch) {
    bool const IsGood = runBatch(Batch, Initial, ActiveMutants, Steps);
    if (IsGood)
      continue;
    std::cout << "found with --seed " << Batch << " after " << Steps
              << " steps\n";
    return 1;
  }
  std::cout << Steps << " steps from seed " << Seed << ", nothing found\n";
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  google::InitGoogleLogging(Arguments[0]);
  cxxopts::Options Options("stateful-fuzz",
                           "Random operations, faults and time against the "
                           "guarantees");
  auto Add = Options.add_options();
  Add("seed", "of the first batch",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seconds", "stop after this many seconds, 0 for no limit",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  Add("steps", "stop after this many commands, 0 for no limit",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  Add("mutant", "enable this mutant", cxxopts::value<std::string>());
  Add("refusals", "also let running servers occasionally refuse a call");
  Add("help", "print this help");
  auto const Parsed = Options.parse(Count, Arguments);
  Budget Limit{Parsed["steps"].as<std::uint64_t>(),
               Parsed["seconds"].as<std::uint64_t>()};
  if (Parsed.count("help") || (Limit.Steps_ == 0 && Limit.Seconds_ == 0)) {
    std::cout << Options.help() << "give --steps or --seconds\n";
    return Parsed.count("help") ? 0 : 2;
  }
  Mutants ActiveMutants;
  if (Parsed.count("mutant")) {
    auto const MutantToEnable = mutantNamed(Parsed["mutant"].as<std::string>());
    if (!MutantToEnable) {
      std::cerr << "no such mutant; fault-matrix --list prints them\n";
      return 2;
    }
    ActiveMutants.insert(*MutantToEnable);
  }
  ModelState Initial;
  Initial.HasRefusals_ = Parsed.count("refusals") > 0;
  return fuzz(Parsed["seed"].as<std::uint64_t>(), Limit, Initial,
              ActiveMutants);
}
