#pragma once

#include <LibSettings/KeyDescription.h>
#include <LibSettings/SettingsLines.h>

#include <SimpleIni.h>

#include <string>
#include <vector>

namespace laburnum {

/// Validates a parsed INI file against the key descriptions and collects all
/// problems.
class SettingsChecker {
public:
  SettingsChecker(CSimpleIniCaseA const &Ini, SettingsLines const &Lines,
                  std::string FileName)
      : Ini_(Ini), Lines_(Lines), FileName_(std::move(FileName)) {}

  SettingsParseResult check();

private:
  void checkNames();
  void checkKeysOf(std::string const &Section);
  void read(KeyDescription const &Key);
  void store(KeyDescription const &Key, std::string const &Value);
  void checkDeadlines();
  void report(KeyDescription const &Key, std::size_t Line, std::string What,
              std::string Remedy);
  std::size_t lineOf(KeyDescription const &Key) const;

  CSimpleIniCaseA const &Ini_;
  SettingsLines const &Lines_;
  std::string FileName_;
  DaemonSettings Settings_;
  std::vector<SettingsProblem> Problems_;
};

} // namespace laburnum
