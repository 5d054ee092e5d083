#include <ServerReport.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;
using platform::ServerReport;

namespace {

std::optional<std::string> identify(std::string const &Body,
                                    std::int32_t Status = 200) {
  return ServerReport().identify({Status, {}}, Body);
}

} // namespace

TEST_CASE("The report is asked for by a request without body") {
  auto const Head = ServerReport().request();
  CHECK(Head.Method_ == "GET");
  CHECK(Head.Target_ == "/laburnumpond/report");
  CHECK_FALSE(Head.Fields_.valueOr("Host").empty());
}

TEST_CASE("A report identifies the process by the time of its start") {
  CHECK(identify("{\"born\":1764976800123}") == "1764976800123");
  CHECK(identify("{\"name\":\"s1\",\"born\":0,\"load\":{\"born\":5}}") == "0");
  CHECK(identify(" { \"born\" : 7 } ") == "7");
}

TEST_CASE("A report without a time of the start identifies no process") {
  auto const *const Body = GENERATE(
      "{}", "{\"name\":\"s1\"}", "{\"Born\":1}", "{\"process\":{\"born\":1}}",
      "{\"born\":null}", "{\"born\":\"1764976800123\"}", "{\"born\":true}",
      "{\"born\":[1]}", "{\"born\":{\"born\":1}}", "{\"born\":1.5}",
      "{\"born\":-1}", "{\"born\":99999999999999999999999}", "[{\"born\":1}]",
      "1", "null", "", "born", "{\"born\":1", "{\"born\":1}}", "\xff",
      "<html>born</html>");
  CAPTURE(Body);
  CHECK_FALSE(identify(Body));
}

TEST_CASE("A report that is nested deeply identifies no process") {
  std::size_t const Depth = GENERATE(1000U, 1000000U);
  auto const Nested = std::string(Depth, '[') + std::string(Depth, ']');
  CHECK_FALSE(identify(Nested));
  CHECK_FALSE(identify("{\"born\":1,\"other\":" + Nested + "}"));
  CHECK_FALSE(identify("{\"born\":1,\"other\":" + std::string(Depth, '[')));
}

TEST_CASE("An answer of another status identifies no process") {
  auto const Status = GENERATE(204, 206, 301, 404, 500, 503);
  CHECK_FALSE(identify("{\"born\":1764976800123}", Status));
}
