#include <LibCore/IdentifierSource.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("Generated identifiers are of their form") {
  IdentifierSource Source(7);
  constexpr int Identifiers = 1000;
  for (int Number = 0; Number < Identifiers; ++Number)
    REQUIRE(isGeneratedIdentifier(Source.next()));
}

TEST_CASE("Other texts are not taken for generated identifiers") {
  std::string const Known = IdentifierSource(7).next();
  auto const Start = Known.substr(1);
  for (auto const &Text : {std::string(), Start, Known + '0', Start + 'A',
                           Start + 'g', Start + ' ', Start + '\n',
                           Start + std::string(1, '\0'), Start + '\xff'})
    CHECK_FALSE(isGeneratedIdentifier(Text));
}
