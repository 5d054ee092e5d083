#include <LibCore/IdentifierSource.h>

#include <cstdio>

namespace laburnum {

static constexpr std::size_t HexDigits = 32;

std::string IdentifierSource::next() {
  char Text[HexDigits + 1];
  auto const High = Generator_();
  auto const Low = Generator_();
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(High),
                static_cast<unsigned long long>(Low));
  return {Text, HexDigits};
}

bool isGeneratedIdentifier(std::string_view Text) {
  return Text.size() == HexDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace laburnum
