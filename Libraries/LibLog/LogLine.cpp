#include <LibLog/LogLine.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cinttypes>
#include <cstdio>

namespace laburnum {

namespace {

bool isPlain(std::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), [](unsigned char Character) {
           return std::isalnum(Character) ||
                  std::string_view("._:/-+,").find(
                      static_cast<char>(Character)) != std::string_view::npos;
         });
}

std::string hexadecimal(std::uint64_t Value) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Value);
  return Text.data();
}

} // namespace

LogLine::LogLine(std::string_view Event) { add("event", Event); }

LogLine &LogLine::add(std::string_view Name, std::string_view Value) {
  if (!Text_.empty())
    Text_ += ' ';
  Text_.append(Name).append("=");
  if (isPlain(Value)) {
    Text_.append(Value);
    return *this;
  }
  Text_ += '"';
  for (char const Character : Value) {
    if (Character == '"' || Character == '\\')
      Text_ += '\\';
    Text_ +=
        std::iscntrl(static_cast<unsigned char>(Character)) ? ' ' : Character;
  }
  Text_ += '"';
  return *this;
}

LogLine &LogLine::add(std::string_view Name, double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.6g", Value);
  return add(Name, std::string_view(Text.data()));
}

LogLine &LogLine::add(std::string_view Name, Duration Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.1f",
                std::chrono::duration<double, std::milli>(Value).count());
  return add(Name, std::string_view(Text.data()));
}

LogLine &LogLine::addHash(std::string_view Name, std::uint64_t Value) {
  return add(Name, std::string_view(hexadecimal(Value)));
}

LogLine &LogLine::addHashes(std::string_view Name,
                            std::vector<std::uint64_t> const &Values) {
  std::string Text;
  for (auto const Value : Values) {
    if (!Text.empty())
      Text += ',';
    Text += hexadecimal(Value);
  }
  return Values.empty() ? *this : add(Name, std::string_view(Text));
}

} // namespace laburnum
