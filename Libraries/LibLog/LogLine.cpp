#include <LibLog/LogLine.h>

#include <LibLog/LogValue.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace laburnum {

namespace {

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
  Text_.append(Name).append("=").append(logValue(Value));
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
