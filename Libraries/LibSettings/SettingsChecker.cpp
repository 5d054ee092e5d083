#include <LibSettings/SettingsChecker.h>

#include <algorithm>

namespace laburnum {

namespace {

bool isKnownSection(std::string const &Section) {
  auto const &Keys = keyDescriptions();
  return std::any_of(Keys.begin(), Keys.end(), [&](KeyDescription const &Key) {
    return Key.Section_ == Section;
  });
}

std::vector<std::string> knownKeys(std::string const &Section) {
  std::vector<std::string> Names;
  for (auto const &Key : keyDescriptions())
    if (Key.Section_ == Section)
      Names.push_back(Key.Key_);
  return Names;
}

std::vector<std::string> knownSections() {
  std::vector<std::string> Names;
  for (auto const &Key : keyDescriptions())
    if (Names.empty() || Names.back() != Key.Section_)
      Names.push_back(Key.Section_);
  return Names;
}

std::string joined(std::vector<std::string> const &Names) {
  std::string Text;
  for (auto const &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

} // namespace

SettingsParseResult SettingsChecker::check() {
  checkNames();
  for (auto const &Key : keyDescriptions())
    read(Key);
  if (Problems_.empty())
    checkDeadlines();
  if (Problems_.empty())
    return Settings_;
  return Problems_;
}

void SettingsChecker::checkNames() {
  CSimpleIniCaseA::TNamesDepend Sections;
  Ini_.GetAllSections(Sections);
  Sections.sort(CSimpleIniCaseA::Entry::LoadOrder());
  for (auto const &Section : Sections) {
    std::string const Name = Section.pItem;
    if (isKnownSection(Name)) {
      checkKeysOf(Name);
      continue;
    }
    if (Name.empty() && Ini_.GetSectionSize("") <= 0)
      continue;
    Problems_.push_back({FileName_, Lines_.section(Name), Name, "",
                         "unknown section", joined(knownSections()),
                         "rename or remove the section"});
  }
}

void SettingsChecker::checkKeysOf(std::string const &Section) {
  auto const Known = knownKeys(Section);
  CSimpleIniCaseA::TNamesDepend Keys;
  Ini_.GetAllKeys(Section.c_str(), Keys);
  Keys.sort(CSimpleIniCaseA::Entry::LoadOrder());
  for (auto const &Key : Keys) {
    std::string const Name = Key.pItem;
    if (std::find(Known.begin(), Known.end(), Name) != Known.end())
      continue;
    auto const Lines = Lines_.key(Section, Name);
    Problems_.push_back({FileName_, Lines.empty() ? 0 : Lines.front(), Section,
                         Name, "unknown key", joined(Known),
                         "rename or remove the key"});
  }
}

void SettingsChecker::read(KeyDescription const &Key) {
  CSimpleIniCaseA::TNamesDepend Values;
  Ini_.GetAllValues(Key.Section_.c_str(), Key.Key_.c_str(), Values);
  if (Values.empty() && !Key.Default_) {
    report(Key, Lines_.section(Key.Section_), "required key is missing",
           "add the key to its section");
    return;
  }
  if (Values.size() > 1) {
    report(Key, lineOf(Key), "key is given more than once",
           "keep one of the lines");
    return;
  }
  store(Key, Values.empty() ? *Key.Default_ : Values.front().pItem);
}

void SettingsChecker::store(KeyDescription const &Key,
                            std::string const &Value) {
  if (Key.Store_(Settings_, Value))
    return;
  auto const IsSecret = Key.Sensitivity_ == Sensitivity::Secret;
  report(Key, lineOf(Key),
         IsSecret ? "value is not allowed"
                  : "value '" + Value + "' is not allowed",
         "change the value");
}

void SettingsChecker::checkDeadlines() {
  auto const &Callers = Settings_.Callers_;
  if (Callers.DefaultDeadline_ <= Callers.MaxDeadline_)
    return;
  for (auto const &Key : keyDescriptions())
    if (Key.Section_ == "callers" && Key.Key_ == "default_deadline_ms")
      report(Key, lineOf(Key), "is longer than max_deadline_ms",
             "lower it or raise max_deadline_ms");
}

void SettingsChecker::report(KeyDescription const &Key, std::size_t Line,
                             std::string What, std::string Remedy) {
  Problems_.push_back({FileName_, Line, Key.Section_, Key.Key_, std::move(What),
                       Key.Allowed_, std::move(Remedy)});
}

std::size_t SettingsChecker::lineOf(KeyDescription const &Key) const {
  auto const Lines = Lines_.key(Key.Section_, Key.Key_);
  return Lines.empty() ? 0 : Lines.back();
}

} // namespace laburnum
