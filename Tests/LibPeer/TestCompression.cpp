#include <LibPeer/Compression.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;

TEST_CASE("Text is the same after its compression") {
  std::string Text =
      GENERATE(std::string(), std::string("\0{}", 3), std::string(100000, 'x'));
  auto const Data = compress(Text);
  CHECK(decompress(Data, Text.size()) == Text);
}

TEST_CASE("Damaged, truncated and oversized data is not decompressed") {
  std::string const Text(50000, 'x');
  auto const Data = compress(Text);
  auto Damaged = Data;
  Damaged.back() = static_cast<char>(Damaged.back() ^ 1);
  CHECK_FALSE(decompress(Damaged, Text.size()));
  CHECK_FALSE(decompress(Data.substr(0, Data.size() / 2), Text.size()));
  CHECK_FALSE(decompress(Data + "x", Text.size()));
  CHECK_FALSE(decompress("", Text.size()));
  CHECK_FALSE(decompress(Data, Text.size() - 1));
}
