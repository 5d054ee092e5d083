#include <LibTraffic/SoftwareVersions.h>
#include <LibTraffic/StreamOrigins.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::seconds;

constexpr Duration Epoch = std::chrono::hours(490000);
ServiceName const Writer("writer");

ServerRecord server(std::string const &Id, std::string const &Version) {
  ServerRecord Made;
  Made.Id_ = ServerId(Id);
  Made.Service_ = Writer;
  Made.SoftwareVersion_ = Version;
  return Made;
}

} // namespace

TEST_CASE("A version that has left counts until no client waits for its "
          "streams") {
  SoftwareVersions Versions;
  Versions.setListed({server("a", "v1")}, Epoch);
  CHECK(Versions.onlyVersion(Writer, Epoch) == "v1");
  Versions.setListed({server("a", "v1"), server("b", "v2")}, Epoch);
  CHECK(Versions.isMixed(Epoch));
  Versions.setListed({server("b", "v2")}, Epoch + seconds(5));
  CHECK_FALSE(Versions.onlyVersion(Writer, Epoch + seconds(34)));
  CHECK(Versions.onlyVersion(Writer, Epoch + seconds(35)) == "v2");
  CHECK_FALSE(Versions.isMixed(Epoch + seconds(35)));
  CHECK_FALSE(Versions.onlyVersion(ServiceName("other"), Epoch));
}

TEST_CASE("A version that was recorded as listed and is not is just gone") {
  SoftwareVersions Versions;
  Versions.setListed({server("b", "v2")}, Epoch);
  Versions.merge({{Writer, {{"v1", std::nullopt}}}}, Epoch + seconds(10));
  CHECK_FALSE(Versions.onlyVersion(Writer, Epoch + seconds(39)));
  CHECK(Versions.onlyVersion(Writer, Epoch + seconds(40)) == "v2");
}

TEST_CASE("A time recorded by a clock that was ahead does not count longer") {
  SoftwareVersions Versions;
  Versions.setListed({server("b", "v2")}, Epoch);
  Versions.merge({{Writer, {{"v1", Epoch + seconds(1000)}}}}, Epoch);
  CHECK(Versions.onlyVersion(Writer, Epoch + seconds(30)) == "v2");
}

TEST_CASE("The origins of streams are remembered while clients may take them "
          "up") {
  StreamOrigins Origins;
  TimePoint const Now{seconds(100)};
  Origins.onBegun({"a", {Writer, "v1"}}, Now);
  Origins.onBegun({"b", {Writer, "v2"}}, Now + seconds(20));
  Origins.onFinished("a");
  CHECK(Origins.find("a", Now + seconds(29)) == StreamOrigin{Writer, "v1"});
  CHECK(Origins.unfinished(Now + seconds(29)) ==
        std::vector<BegunStream>{{"b", {Writer, "v2"}}});
  CHECK_FALSE(Origins.find("a", Now + seconds(30)));
  SECTION("a stream that was taken up counts anew") {
    Origins.onBegun({"b", {Writer, "v2"}}, Now + seconds(45));
    CHECK(Origins.find("b", Now + seconds(70)));
  }
  SECTION("the oldest are forgotten first") {
    for (int Index = 0; Index < 10000; ++Index)
      Origins.onBegun({std::to_string(Index), {Writer, "v2"}},
                      Now + seconds(21));
    CHECK_FALSE(Origins.find("b", Now + seconds(22)));
    CHECK(Origins.find("0", Now + seconds(22)));
  }
}
