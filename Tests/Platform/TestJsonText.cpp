#include <JsonText.h>

#include <catch2/catch.hpp>

using namespace laburnum::platform;

TEST_CASE("An object's members are split without reading their values") {
  auto const *const Text =
      R"( {"a": 1e999 , "b":{"c":["]}",{}]},"d":"\"}{", "e":null} )";
  CHECK(jsonMember(Text, "a") == "1e999");
  CHECK(jsonMember(Text, "b") == R"({"c":["]}",{}]})");
  CHECK(jsonMember(Text, "d") == R"("\"}{")");
  CHECK(jsonMember(Text, "e") == "null");
  CHECK(jsonMember(Text, "c").empty());
  CHECK(jsonMembers(Text).size() == 4);
}

TEST_CASE("An array's elements are split without reading them") {
  auto const Elements = jsonElements("[1e999,\"\xff,\" , {\"a\":[1,2]},[]]");
  REQUIRE(Elements.size() == 4);
  CHECK(Elements[1] == "\"\xff,\"");
  CHECK(Elements[2] == "{\"a\":[1,2]}");
  CHECK(jsonElements("[]").empty());
  CHECK(jsonElements("{}").empty());
}

TEST_CASE("Text that ends early is split as far as it goes") {
  auto const Whole = std::string(R"({"a":[1,{"b":"c\"d"}],"e":2})");
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    auto const Text = std::string_view(Whole).substr(0, Size);
    CHECK(jsonMembers(Text).size() <= 2);
    CHECK(jsonElements(jsonMember(Text, "a")).size() <= 2);
  }
}

TEST_CASE("Text that is nested too deeply is not read") {
  CHECK(parseUntrusted(std::string(64, '[') + std::string(64, ']')).is_array());
  CHECK(parseUntrusted(std::string(65, '[') + std::string(65, ']'))
            .is_discarded());
  CHECK(parseUntrusted("\"" + std::string(100, '[') + "\"").is_string());
  CHECK(parseUntrusted("").is_discarded());
}

TEST_CASE("The beginning of an object is not a whole one") {
  for (std::string const Whole :
       {"{}", R"( {"a":[1,{"b":"}"}]} )", R"({"a":"\"}"})"}) {
    CAPTURE(Whole);
    CHECK(isWholeJsonObject(Whole));
    auto const End = Whole.rfind('}');
    for (std::size_t Size = 0; Size <= End; ++Size)
      CHECK_FALSE(isWholeJsonObject(Whole.substr(0, Size)));
  }
  CHECK_FALSE(isWholeJsonObject("[]"));
}
