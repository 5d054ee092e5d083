#include <LibBackend/ServerSentEvents.h>

#include <catch2/catch.hpp>

using namespace laburnum;

using Events = std::vector<std::string>;

static Events feedByByte(std::string const &Text) {
  ServerSentEvents Reader;
  Events All;
  for (char const Byte : Text) {
    auto const Completed = Reader.feed({&Byte, 1});
    for (auto const &Event : valueOf(Completed))
      All.push_back(Event);
  }
  return All;
}

TEST_CASE("Events are parsed the same at once and byte by byte") {
  auto const [Text, Expected] = GENERATE(table<std::string, Events>(
      {{"data: a\n\ndata:b\n\n", {"a", "b"}},
       {"data: a\r\n\r\ndata: b\r\n\r\n", {"a", "b"}},
       {"data: a\r\rdata: b\r\r", {"a", "b"}},
       {"data: a\ndata: b\n\n", {"a\nb"}},
       {"\xEF\xBB\xBF"
        "data: a\n\n",
        {"a"}},
       {": note\nevent: x\nid: 3\ndata:  a\n\n", {" a"}},
       {"data\n\n", {""}},
       {"event: x\n\n\n\n", {}},
       {"data: cut", {}}}));

  CHECK(valueOf(ServerSentEvents().feed(Text)) == Expected);
  CHECK(feedByByte(Text) == Expected);
}

TEST_CASE("An event longer than the bound is an error") {
  ServerSentEvents Reader(16);
  CHECK_FALSE(isError(Reader.feed("data: 12345\n\n")));
  auto const Outcome = Reader.feed("data: 12345678901");
  REQUIRE(isError(Outcome));
  CHECK(errorOf(Outcome).Kind_ == ErrorKind::ResourceExhausted);
}
