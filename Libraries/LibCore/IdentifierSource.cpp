#include <LibCore/IdentifierSource.h>

#include <cstdio>

namespace laburnum {

std::string IdentifierSource::next() {
  constexpr std::size_t HexDigits = 32;
  char Text[HexDigits + 1];
  auto const High = Generator_();
  auto const Low = Generator_();
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(High),
                static_cast<unsigned long long>(Low));
  return {Text, HexDigits};
}

} // namespace laburnum
