#include <LibCore/PercentEncoding.h>

#include <charconv>

namespace laburnum {

namespace {

bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '.' || Character == '_' || Character == '~';
}

} // namespace

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char const Character : Text) {
    if (isUnreserved(Character)) {
      Encoded += Character;
      continue;
    }
    auto const Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += Digits[Byte / 16];
    Encoded += Digits[Byte % 16];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  constexpr std::size_t EscapeLength = 3;
  constexpr int Hexadecimal = 16;
  std::string Decoded;
  while (!Text.empty()) {
    if (Text.front() != '%') {
      if (!isUnreserved(Text.front()))
        return std::nullopt;
      Decoded += Text.front();
      Text.remove_prefix(1);
      continue;
    }
    unsigned Byte = 0;
    if (Text.size() < EscapeLength)
      return std::nullopt;
    auto const *const End = Text.data() + EscapeLength;
    auto const Parsed =
        std::from_chars(Text.data() + 1, End, Byte, Hexadecimal);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return std::nullopt;
    Decoded += static_cast<char>(Byte);
    Text.remove_prefix(EscapeLength);
  }
  return Decoded;
}

} // namespace laburnum
