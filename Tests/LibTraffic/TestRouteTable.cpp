#include <LibTraffic/RouteTable.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
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

TEST_CASE("The first of two routes with the same prefix decides") {
  RouteTable const Table(
      1, {route("first", "h", "/a/"), route("second", "h", "/a/")}, {}, {}, {});
  CHECK(Table.match("h", "/a/x")->Name_ == "first");
}

// Guards against a search through all routes of a host for each request.
TEST_CASE("A host with many routes finds a request's route as fast as one with "
          "few") {
  constexpr int Searches = 20000;
  auto const TimeOf = [](int Routes) {
    std::vector<Route> All;
    for (int Number = 0; Number < Routes; ++Number)
      All.push_back(
          route("r", "h", "/p" + std::to_string(100000 + Number) + "/"));
    RouteTable const Table(1, std::move(All), {}, {}, {});
    auto Best = std::chrono::steady_clock::duration::max();
    for (int Play = 0; Play < 5; ++Play) {
      auto const Begin = std::chrono::steady_clock::now();
      int Found = 0;
      for (int Number = 0; Number < Searches; ++Number)
        Found += Table.match("h", "/p1/other") ? 1 : 0;
      CHECK(Found == 0);
      Best = std::min(Best, std::chrono::steady_clock::now() - Begin);
    }
    return Best;
  };
  CHECK(TimeOf(5000) < 20 * TimeOf(5));
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
