#include <LibCallers/EventId.h>

#include <catch2/catch.hpp>

using namespace laburnum;

TEST_CASE("Event ids round-trip") {
  for (EventId const Id : {EventId{0, std::nullopt}, EventId{17, 0},
                           EventId{17, 0xffffffffffffffffU}})
    CHECK(parseEventId(toString(Id)) == Id);
  CHECK(toString({17, 0xab}) == "17-ab");
}

TEST_CASE("Malformed event ids are rejected") {
  for (auto const *Text : {"", "x", "-1", "17-", "17x", "17-xy", "17-ab ",
                           "1073741824", "17-11112222333344445"})
    CHECK_FALSE(parseEventId(Text));
}
