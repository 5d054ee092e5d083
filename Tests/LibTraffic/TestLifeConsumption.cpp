#include <LibTraffic/LifeConsumption.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

AccountName const A("a");
AccountName const B("b");
using Counts = std::vector<AccountConsumption>;

} // namespace

TEST_CASE("Only what came since a life was first heard counts") {
  LifeConsumption Life;
  CHECK(Life.take({{A, 100, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.take({{A, 150, 180}}) == Counts{{A, 50, 60}});
  CHECK(Life.take({{A, 150, 180}}) == Counts{{A, 0, 0}});
}

TEST_CASE("An account that is new to a known life counts whole") {
  LifeConsumption Life;
  CHECK(Life.take({}).empty());
  CHECK(Life.take({{A, 7, 9}}) == Counts{{A, 7, 9}});
  CHECK(Life.take({{A, 8, 9}, {B, 3, 4}}) == Counts{{A, 1, 0}, {B, 3, 4}});
}

TEST_CASE("A report that comes late adds nothing, then or later") {
  LifeConsumption Life;
  Life.take({{A, 100, 100}});
  Life.take({{A, 150, 150}});
  CHECK(Life.take({{A, 120, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.take({{A, 160, 160}}) == Counts{{A, 10, 10}});
}
