#include <LibTraffic/IncarnationConsumption.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

AccountName const A("a");
AccountName const B("b");
using Counts = std::vector<AccountConsumption>;

} // namespace

TEST_CASE("Only growth since an incarnation's first report counts") {
  IncarnationConsumption Life;
  CHECK(Life.take({{A, 100, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.take({{A, 150, 180}}) == Counts{{A, 50, 60}});
  CHECK(Life.take({{A, 150, 180}}) == Counts{{A, 0, 0}});
}

TEST_CASE("An account new to a known incarnation counts in full") {
  IncarnationConsumption Life;
  CHECK(Life.take({}).empty());
  CHECK(Life.take({{A, 7, 9}}) == Counts{{A, 7, 9}});
  CHECK(Life.take({{A, 8, 9}, {B, 3, 4}}) == Counts{{A, 1, 0}, {B, 3, 4}});
}

TEST_CASE("A report out of order adds nothing, then or later") {
  IncarnationConsumption Life;
  Life.take({{A, 100, 100}});
  Life.take({{A, 150, 150}});
  CHECK(Life.take({{A, 120, 120}}) == Counts{{A, 0, 0}});
  CHECK(Life.take({{A, 160, 160}}) == Counts{{A, 10, 10}});
}
