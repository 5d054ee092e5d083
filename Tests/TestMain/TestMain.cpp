#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

/// The test cases of Program that KNOWN-RED.txt lists as PROGRAM "CASE": ...
std::vector<std::string> knownRed(std::string const &Program) {
  std::vector<std::string> Cases;
  std::ifstream File(KNOWN_RED_FILE);
  auto const Prefix = Program + " \"";
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Prefix))
      Cases.push_back(Line.substr(
          Prefix.size(), Line.find("\":", Prefix.size()) - Prefix.size()));
  return Cases;
}

/// Catch2 takes a comma as the end of a test specification.
std::string escapeCommas(std::string_view Name) {
  std::string Escaped;
  for (auto const Character : Name) {
    if (Character == ',')
      Escaped += '\\';
    Escaped += Character;
  }
  return Escaped;
}

} // namespace

/// Without arguments, skips the test cases that are known to fail and prints
/// their names.
int main(int Count, char **Arguments) {
  Catch::Session Session;
  if (Count > 1)
    return Session.run(Count, Arguments);
  auto const Program = std::filesystem::path(Arguments[0]).filename().string();
  auto &Config = Session.configData();
  std::string Filter;
  for (auto const &Case : knownRed(Program)) {
    std::cout << "known red, not run: " << Program << " \"" << Case << "\"\n";
    Filter += "~\"" + escapeCommas(Case) + '"';
  }
  if (!Filter.empty())
    Config.testsOrTags.push_back(Filter);
  return Session.run();
}
