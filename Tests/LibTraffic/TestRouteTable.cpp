#include <LibTraffic/RouteTable.h>

#include <catch2/catch.hpp>

#include <map>

using namespace laburnum;

namespace {

Route route(std::string Name, std::string Host, std::string Prefix) {
  Route Made;
  Made.Name_ = std::move(Name);
  Made.Host_ = std::move(Host);
  Made.PathPrefix_ = std::move(Prefix);
  return Made;
}

} // namespace

TEST_CASE("The longest prefix of the host decides") {
  RouteTable const Table(1,
                         {route("short", "h.example", "/a/"),
                          route("long", "h.example", "/a/b/"),
                          route("other", "o.example", "/")},
                         {}, {}, {});
  CHECK(Table.match("h.example", "/a/b/c")->Name_ == "long");
  CHECK(Table.match("H.Example:8080", "/a/x?q=/a/b/")->Name_ == "short");
  CHECK(Table.match("o.example", "/a/b/c")->Name_ == "other");
  CHECK(Table.match("h.example", "/a") == nullptr);
  CHECK(Table.match("h.example", "/ab/") == nullptr);
  CHECK(Table.match("x.example", "/a/") == nullptr);
}

TEST_CASE("Keys identify their account") {
  RoutedAccount Account;
  Account.Name_ = AccountName("one");
  Account.Keys_ = {"k1", "k2"};
  RouteTable const Table(1, {}, {}, {Account}, {});
  CHECK(Table.accountByKey("k2")->Name_ == AccountName("one"));
  CHECK(Table.accountByKey("") == nullptr);
  CHECK(Table.accountByKey("k3") == nullptr);
}

TEST_CASE(
    "A split route distributes requests by weight and consistently per seed") {
  Route Split = route("r", "h", "/");
  Split.Services_ = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  std::map<ServiceName, int> Counts;
  for (int Place = 0; Place < 2000; ++Place) {
    auto const Seed = std::to_string(Place);
    auto const Service = serviceFor(Split, Seed);
    CHECK(Service == serviceFor(Split, Seed));
    ++Counts[Service];
  }
  CHECK(Counts[ServiceName("b")] > 120);
  CHECK(Counts[ServiceName("b")] < 290);
}
