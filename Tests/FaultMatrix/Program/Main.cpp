#include "Report.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <iostream>

using namespace laburnum::faults;

namespace {

cxxopts::Options describe() {
  cxxopts::Options Options(
      "fault-matrix", "Every fault at every step of each guarantee's flow");
  auto Add = Options.add_options();
  Add("row", "only this row", cxxopts::value<std::string>());
  Add("column", "only this column", cxxopts::value<std::string>());
  Add("mutant", "enable this mutant", cxxopts::value<std::string>());
  Add("mutants", "run each cell with its mutants");
  Add("known-red", "file of known failures",
      cxxopts::value<std::string>()->default_value("KNOWN-RED.txt"));
  Add("list", "print rows, columns and mutants");
  Add("help", "print this help");
  return Options;
}

template <typename Parsed>
std::string textOf(Parsed const &Options, std::string const &Name) {
  return Options.count(Name) ? Options[Name].template as<std::string>() : "";
}

} // namespace

int main(int Count, char **Arguments) {
  google::InitGoogleLogging(Arguments[0]);
  auto Options = describe();
  auto const Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return 0;
  }
  if (Parsed.count("list")) {
    printNames(std::cout);
    return 0;
  }
  Selection Selected{textOf(Parsed, "row"), textOf(Parsed, "column"),
                     Parsed["known-red"].as<std::string>(), std::nullopt};
  if (Parsed.count("mutant")) {
    Selected.Mutant_ = mutantNamed(textOf(Parsed, "mutant"));
    if (!Selected.Mutant_) {
      std::cerr << "no such mutant; --list prints them\n";
      return 2;
    }
  }
  return Parsed.count("mutants") ? reportMutants(Selected, std::cout)
                                 : reportMatrix(Selected, std::cout);
}
