#include <LibLog/LogLine.h>
#include <LibLog/LogValue.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("No value of a log line begins another line or field") {
  CHECK(logValue("srv-1.a:80/x,y+z_") == "srv-1.a:80/x,y+z_");
  CHECK(logValue("") == "\"\"");
  CHECK(logValue("a\nevent=stopped") == "\"a event=stopped\"");
  CHECK(logValue("a\r\tb\x7f") == "\"a  b \"");
  CHECK(logValue("a\" b=\"c\\") == R"("a\" b=\"c\\")");
  CHECK(LogLine("start").add("name", "a\nb").text() ==
        R"(event=start name="a b")");
}
