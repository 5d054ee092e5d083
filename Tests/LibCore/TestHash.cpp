#include <LibCore/Hash.h>

#include <catch2/catch.hpp>

#include <string>

using namespace laburnum;

static std::vector<std::string> order(std::string const &Key,
                                      std::vector<std::string> Members) {
  return rendezvousOrder(
      Key, std::move(Members),
      [](std::string const &Name) -> std::string const & { return Name; });
}

TEST_CASE("The rendezvous order does not depend on the order of members") {
  CHECK(order("key", {"a", "b", "c"}) == order("key", {"c", "a", "b"}));
}

TEST_CASE("Removing a member moves only the keys that it held") {
  std::vector<std::string> const All = {"a", "b", "c", "d"};
  std::vector<std::string> const Fewer = {"a", "b", "d"};
  for (int Key = 0; Key < 100; ++Key) {
    auto const Before = order(std::to_string(Key), All).front();
    if (Before != "c")
      CHECK(order(std::to_string(Key), Fewer).front() == Before);
  }
}
