#include <LibSettings/DaemonSettings.h>
#include <LibSettings/SettingsChecker.h>

#include <fstream>
#include <sstream>

namespace laburnum {

Result<DaemonSettings> DaemonSettings::load(std::string const &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return Error{ErrorKind::NotFound, "cannot read settings file " + Path,
                 "check the path and the file's permissions"};
  auto Parsed = parse(Text.str(), Path);
  if (auto *Settings = std::get_if<DaemonSettings>(&Parsed))
    return std::move(*Settings);
  std::string Message = "the settings file has errors";
  for (auto const &Problem : std::get<std::vector<SettingsProblem>>(Parsed))
    Message += "\n" + toString(Problem);
  return Error{
      ErrorKind::InvalidArgument, Message,
      "correct each line named above; docs/SETTINGS.md lists every key"};
}

SettingsParseResult DaemonSettings::parse(std::string const &Text,
                                          std::string const &FileName) {
  CSimpleIniCaseA Ini;
  // Without these options the library silently drops repeated keys and lines
  // without a value.
  Ini.SetMultiKey(true);
  Ini.SetAllowKeyOnly(true);
  if (Ini.LoadData(Text) < 0)
    return std::vector<SettingsProblem>{
        {FileName, 0, "", "", "not an INI file", "", "correct the file"}};
  SettingsLines const Lines(Text);
  return SettingsChecker(Ini, Lines, FileName).check();
}

} // namespace laburnum
