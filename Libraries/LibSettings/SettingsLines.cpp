#include <LibSettings/SettingsLines.h>

#include <algorithm>
#include <sstream>

namespace laburnum {

namespace {

constexpr char const *Blanks = " \t\r";

std::string trimmed(std::string const &Text) {
  auto const First = Text.find_first_not_of(Blanks);
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

} // namespace

SettingsLines::SettingsLines(std::string const &Text) {
  std::istringstream Stream(Text);
  std::string Raw;
  for (std::size_t Number = 1; std::getline(Stream, Raw); ++Number)
    addLine(trimmed(Raw), Number);
}

void SettingsLines::addLine(std::string const &Raw, std::size_t Number) {
  if (Raw.empty() || Raw.front() == ';' || Raw.front() == '#')
    return;
  if (Raw.front() == '[') {
    Section_ = trimmed(Raw.substr(1, Raw.find(']') - 1));
    Lines_.push_back({Number, Section_, ""});
    return;
  }
  Lines_.push_back({Number, Section_, trimmed(Raw.substr(0, Raw.find('=')))});
}

std::size_t SettingsLines::section(std::string const &Section) const {
  auto const Found =
      std::find_if(Lines_.begin(), Lines_.end(), [&](Line const &Entry) {
        return Entry.Key_.empty() && Entry.Section_ == Section;
      });
  return Found == Lines_.end() ? 0 : Found->Number_;
}

std::vector<std::size_t> SettingsLines::key(std::string const &Section,
                                            std::string const &Key) const {
  std::vector<std::size_t> Numbers;
  for (auto const &Entry : Lines_)
    if (Entry.Section_ == Section && Entry.Key_ == Key)
      Numbers.push_back(Entry.Number_);
  return Numbers;
}

} // namespace laburnum
