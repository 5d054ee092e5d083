#include <LibSettings/ValueParsers.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace laburnum {

namespace {

std::string trimmed(std::string const &Text) {
  auto const First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::vector<std::string> splitAtCommas(std::string const &Text) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (true) {
    auto const Comma = Text.find(',', Start);
    Parts.push_back(trimmed(Text.substr(Start, Comma - Start)));
    if (Comma == std::string::npos)
      return Parts;
    Start = Comma + 1;
  }
}

bool isDuplicate(std::vector<OperatorKey> const &Known,
                 OperatorKey const &Next) {
  return std::any_of(Known.begin(), Known.end(), [&](OperatorKey const &Key) {
    return Key.Name_ == Next.Name_ || Key.Key_ == Next.Key_;
  });
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string const &Text,
                                         std::int64_t Minimum,
                                         std::int64_t Maximum) {
  std::int64_t Value = 0;
  auto const *End = Text.data() + Text.size();
  auto const [Unparsed, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Unparsed != End)
    return std::nullopt;
  if (Value < Minimum || Value > Maximum)
    return std::nullopt;
  return Value;
}

std::optional<Endpoint> parseEndpoint(std::string const &Text) {
  auto const Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  auto const Port = parseInteger(Text.substr(Colon + 1), 1,
                                 std::numeric_limits<std::uint16_t>::max());
  if (!Port)
    return std::nullopt;
  return Endpoint{Text.substr(0, Colon), static_cast<std::uint16_t>(*Port)};
}

std::optional<std::vector<Endpoint>> parseEndpoints(std::string const &Text) {
  std::vector<Endpoint> Endpoints;
  if (Text.empty())
    return Endpoints;
  for (auto const &Part : splitAtCommas(Text)) {
    auto const Parsed = parseEndpoint(Part);
    if (!Parsed)
      return std::nullopt;
    Endpoints.push_back(*Parsed);
  }
  return Endpoints;
}

std::optional<std::vector<OperatorKey>>
parseOperatorKeys(std::string const &Text) {
  std::vector<OperatorKey> Keys;
  for (auto const &Part : splitAtCommas(Text)) {
    auto const Colon = Part.find(':');
    if (Colon == std::string::npos || Colon == 0)
      return std::nullopt;
    OperatorKey const Key{Part.substr(0, Colon), Part.substr(Colon + 1)};
    if (Key.Key_.size() < MinimumSecretCharacters || isDuplicate(Keys, Key))
      return std::nullopt;
    Keys.push_back(Key);
  }
  return Keys;
}

std::optional<LogLevel> parseLogLevel(std::string const &Text) {
  if (Text == "info")
    return LogLevel::Info;
  if (Text == "warning")
    return LogLevel::Warning;
  if (Text == "error")
    return LogLevel::Error;
  return std::nullopt;
}

} // namespace laburnum
