#include <LibCore/PercentEncoding.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;

TEST_CASE("All bytes but the unreserved characters are encoded") {
  CHECK(percentEncode("azAZ09-._~") == "azAZ09-._~");
  CHECK(percentEncode("a b/c?d=e&f+g%20") == "a%20b%2Fc%3Fd%3De%26f%2Bg%2520");
  CHECK(percentEncode(std::string("\0\r\n\xc3\xa9", 5)) == "%00%0D%0A%C3%A9");
}

TEST_CASE("Encoded text is decoded to what it was") {
  std::string All;
  for (int Byte = 0; Byte < 256; ++Byte)
    All += static_cast<char>(Byte);
  CHECK(percentDecode(percentEncode(All)) == All);
  CHECK(percentDecode("") == "");
}

TEST_CASE("Text that is not encoded is not decoded") {
  auto const Text = GENERATE("a b", "a/b", "%", "%4", "%4g", "+");
  CAPTURE(Text);
  CHECK_FALSE(percentDecode(Text));
}
