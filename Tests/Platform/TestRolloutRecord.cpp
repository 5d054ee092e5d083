#include <RolloutRecord.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::platform;

TEST_CASE("An order names its service, a version and a time") {
  auto const Decoded = decodeRollout(
      "engine", R"({"service":"engine","target":"v2","duration_s":12})");
  REQUIRE(std::holds_alternative<RolloutOrder>(Decoded));
  CHECK(std::get<RolloutOrder>(Decoded) ==
        RolloutOrder{ServiceName("engine"), "v2", std::chrono::seconds(12)});
}

TEST_CASE("What is wrong with an order is told") {
  for (auto const *const Text :
       {"", "{}", "[]", R"({"service":"other","target":"v2","duration_s":12})",
        R"({"service":"engine","target":"","duration_s":12})",
        R"({"service":"engine","target":7,"duration_s":12})",
        R"({"service":"engine","target":"v2","duration_s":"12"})",
        R"({"service":"engine","target":"v2","duration_s":0})",
        R"({"service":"engine","target":"v2","duration_s":-1})",
        R"({"service":"engine","target":"v2","duration_s":1e300})",
        R"({"service":"engine","target":"v2"})"})
    CHECK(std::holds_alternative<std::string>(decodeRollout("engine", Text)));
}

TEST_CASE("The status tells the operator of the end only") {
  CHECK(encodeRolloutStatus("v2", RolloutStage::Full) ==
        R"({"state":"running","target":"v2"})");
  CHECK(encodeRolloutStatus("v2", RolloutStage::Completed) ==
        R"({"state":"completed","target":"v2"})");
  CHECK(encodeRolloutStatus("v2", RolloutStage::RolledBack) ==
        R"({"state":"rolled_back","target":"v2"})");
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE("The status of an order that is not UTF-8 is written") {
  CHECK(encodeRolloutStatus("v\xff", RolloutStage::Full) ==
        "{\"state\":\"running\",\"target\":\"v\uFFFD\"}");
}
